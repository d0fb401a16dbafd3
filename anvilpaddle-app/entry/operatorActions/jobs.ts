/** Operators' API: batch jobs. */
import type { Job } from '@anvilpaddle/decisions';
import { newFailure, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS } from '../action';
import type { Action, EntryDependencies, Exchange } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';

const MAX_LISTED_JOBS = 100;

/** Job as shown to operators, without its items and results. */
const getJobSummary = ({ id, team, state, route, items, createdAt, dueAt }: Job) => ({
  id,
  team,
  state,
  route,
  items,
  createdAt: new Date(createdAt).toISOString(),
  dueAt: new Date(dueAt).toISOString(),
});

const respondJob = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  job: Job | undefined,
): Promise<Result<void, ApiError>> => {
  if (job === undefined) {
    return newFailure(newApiError('not_found', `no job "${exchange.params.id}"`));
  }
  const counts = await dependencies.jobs.getCounts(job);
  if (!counts.ok) return newPlatformFailure(counts.error);
  return respondJson(exchange, { ...getJobSummary(job), counts: counts.value });
};

/** GET /operator/v1/jobs?team=…: jobs of a team. */
export const listJobs: Action = {
  name: 'operator.jobs',
  method: 'GET',
  path: '/operator/v1/jobs',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) => {
    const team = exchange.url.searchParams.get('team');
    if (team === null || !exchange.config.teams.has(team)) {
      return newFailure(newApiError('invalid_request', 'team: expected the name of a team'));
    }
    const jobs = await dependencies.jobs.listJobs(team, undefined, MAX_LISTED_JOBS);
    if (!jobs.ok) return newPlatformFailure(jobs.error);
    return respondJson(exchange, { jobs: jobs.value.map(getJobSummary) });
  },
};

/** GET /operator/v1/jobs/:id: one job with its item counts. */
export const readJob: Action = {
  name: 'operator.job',
  method: 'GET',
  path: '/operator/v1/jobs/:id',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) => {
    const job = await dependencies.jobs.getJob(exchange.params.id ?? '');
    return job.ok ? respondJob(exchange, dependencies, job.value) : newPlatformFailure(job.error);
  },
};

/** POST /operator/v1/jobs/:id/cancel: cancels a job of any team. */
export const cancelJob: Action = {
  name: 'operator.job.cancel',
  method: 'POST',
  path: '/operator/v1/jobs/:id/cancel',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) => {
    const job = await dependencies.jobs.cancelJob(exchange.params.id ?? '');
    if (job.ok) return respondJob(exchange, dependencies, job.value);
    return job.error.kind === 'platform'
      ? newPlatformFailure(job.error.error)
      : newFailure(newApiError('conflict', 'the job was changed at the same time'));
  },
};
