import type { Job } from '@anvilpaddle/decisions';
import { newFailure, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS } from '../action';
import type { Action, EntryDependencies, Exchange } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';

const LISTED_JOBS = 100;

/** Job as operators see it; never an item or a result. */
const getJobSummary = ({ id, team, state, route, items, createdAt, dueAt }: Job) => ({
  id,
  team,
  state,
  route,
  items,
  createdAt: new Date(createdAt).toISOString(),
  dueAt: new Date(dueAt).toISOString(),
});

const answerJob = async (
  exchange: Exchange,
  services: EntryDependencies,
  job: Job | undefined,
): Promise<Result<void, ApiError>> => {
  if (job === undefined) {
    return newFailure(newApiError('not_found', `no job "${exchange.params.id}"`));
  }
  const counts = await services.jobs.getCounts(job);
  if (!counts.ok) return newPlatformFailure(counts.error);
  return respondJson(exchange, { ...getJobSummary(job), counts: counts.value });
};

/** GET /operator/v1/jobs?team=… */
export const listJobs: Action = {
  name: 'operator.jobs',
  method: 'GET',
  path: '/operator/v1/jobs',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const team = exchange.url.searchParams.get('team');
    if (team === null || !exchange.config.teams.has(team)) {
      return newFailure(newApiError('invalid_request', 'team: expected the name of a team'));
    }
    const jobs = await services.jobs.listJobs(team, undefined, LISTED_JOBS);
    if (!jobs.ok) return newPlatformFailure(jobs.error);
    return respondJson(exchange, { jobs: jobs.value.map(getJobSummary) });
  },
};

/** GET /operator/v1/jobs/:id */
export const readJob: Action = {
  name: 'operator.job',
  method: 'GET',
  path: '/operator/v1/jobs/:id',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const job = await services.jobs.getJob(exchange.params.id ?? '');
    return job.ok ? answerJob(exchange, services, job.value) : newPlatformFailure(job.error);
  },
};

/** POST /operator/v1/jobs/:id/cancel */
export const cancelJob: Action = {
  name: 'operator.job.cancel',
  method: 'POST',
  path: '/operator/v1/jobs/:id/cancel',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const job = await services.jobs.cancelJob(exchange.params.id ?? '');
    if (job.ok) return answerJob(exchange, services, job.value);
    return job.error.kind === 'platform'
      ? newPlatformFailure(job.error.error)
      : newFailure(newApiError('conflict', 'the job was changed at the same time'));
  },
};
