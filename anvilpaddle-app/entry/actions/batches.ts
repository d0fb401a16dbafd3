/** Batch API, as in OpenAI's API. */
import { z } from 'zod';
import { getRoute, JOB_STATE, type File, type Job, type NamedRoute } from '@anvilpaddle/decisions';
import {
  getSecretHash,
  MS_PER_HOUR,
  newFailure,
  newId,
  newOk,
  readBody,
  type Result,
} from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS } from '../action';
import type { Action, EntryDependencies, Exchange } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';
import { parseJsonObject } from '../parseJsonObject';
import { getBatchObject } from './batchObject';
import type { IdempotencyKey } from '../../batch/jobCreation';
import type { JobError } from '../../controllers/jobController';

const requestSchema = z.object({
  input_file_id: z.string(),
  endpoint: z.string(),
  completion_window: z
    .string()
    .regex(/^\d+h$/, 'expected hours such as 24h')
    .optional(),
  metadata: z.record(z.string(), z.string()).optional(),
});
type JobRequest = z.infer<typeof requestSchema>;

const respondJob = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  job: Job,
): Promise<Result<void, ApiError>> => {
  const counts = await dependencies.jobs.getCounts(job);
  if (!counts.ok) return newPlatformFailure(counts.error);
  return respondJson(exchange, getBatchObject(job, counts.value, dependencies.clock.wall()));
};

const newJobFailure = (error: JobError) =>
  error.kind === 'platform'
    ? newPlatformFailure(error.error)
    : newFailure(newApiError('conflict', error.detail));

interface ParsedRequest {
  readonly fields: JobRequest;
  readonly bodyHash: string;
}

const parseRequest = async (exchange: Exchange): Promise<Result<ParsedRequest, ApiError>> => {
  const body = await readBody(exchange.request, exchange.settings['request.max_body']);
  if (!body.ok) return newFailure(newApiError('too_large', 'the body is too large'));
  const json = parseJsonObject(body.value);
  if (!json.ok) return json;
  const parsed = requestSchema.safeParse(json.value);
  if (parsed.success) {
    return newOk({ fields: parsed.data, bodyHash: getSecretHash(String(body.value)) });
  }
  const issue = parsed.error.issues[0];
  const param = issue?.path.join('.') ?? '';
  return newFailure(newApiError('invalid_request', `${param}: ${issue?.message}`, { param }));
};

const findFile = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  id: string,
): Promise<Result<File, ApiError>> => {
  const file = await dependencies.jobs.getFile(id);
  if (!file.ok) return newPlatformFailure(file.error);
  if (file.value !== undefined && file.value.team === exchange.team) return newOk(file.value);
  return newFailure(newApiError('not_found', `no file ${id}`, { param: 'input_file_id' }));
};

const findJob = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  id = exchange.params.id ?? '',
): Promise<Result<Job, ApiError>> => {
  const job = await dependencies.jobs.getJob(id);
  if (!job.ok) return newPlatformFailure(job.error);
  if (job.value !== undefined && job.value.team === exchange.team) return newOk(job.value);
  return newFailure(newApiError('not_found', `no batch ${id}`));
};

const newForbiddenFailure = (message: string) => newFailure(newApiError('forbidden', message));

/** Route of the endpoint, if the team may use it for the job's items. */
const findRoute = (exchange: Exchange, endpoint: string): Result<NamedRoute, ApiError> => {
  const route = getRoute(exchange.config, endpoint);
  if (route === undefined) {
    return newFailure(
      newApiError('invalid_request', `endpoint: no route for ${endpoint}`, { param: 'endpoint' }),
    );
  }
  const allowed = exchange.config.teams.get(exchange.team ?? '')?.routes;
  if (allowed === undefined || allowed.includes(route.name)) return newOk(route);
  return newForbiddenFailure(`team ${exchange.team} may not use ${route.name}`);
};

const newJob = (
  exchange: Exchange,
  request: JobRequest,
  route: NamedRoute,
  file: File,
  nowMs: number,
): Job => {
  const windowMs =
    request.completion_window === undefined
      ? exchange.settings['batch.completion_window']
      : Number.parseInt(request.completion_window, 10) * MS_PER_HOUR;
  return {
    id: newId('batch'),
    team: exchange.team ?? '',
    state: JOB_STATE.inProgress,
    file: file.id,
    endpoint: request.endpoint,
    route: route.name,
    group: route.group,
    revision: exchange.config.revision,
    chunks: file.parts.length,
    items: file.parts.reduce((sum, count) => sum + count, 0),
    createdAt: nowMs,
    dueAt: nowMs + windowMs,
    metadata: request.metadata,
  };
};

const getIdempotencyKey = (exchange: Exchange, bodyHash: string): IdempotencyKey | undefined => {
  const key = exchange.request.headers['idempotency-key'];
  return typeof key === 'string' && key !== '' ? { key, bodyHash } : undefined;
};

/** POST /v1/batches: responds once the job is durable; a repeated idempotency key returns it. */
export const createBatch: Action = {
  name: 'batches.create',
  method: 'POST',
  path: '/v1/batches',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const request = await parseRequest(exchange);
    if (!request.ok) return request;
    const { fields, bodyHash } = request.value;
    if (!exchange.settings['batch.enabled']) return newForbiddenFailure('batches are switched off');
    const route = findRoute(exchange, fields.endpoint);
    if (!route.ok) return route;
    const file = await findFile(exchange, dependencies, fields.input_file_id);
    if (!file.ok) return file;
    const job = newJob(exchange, fields, route.value, file.value, dependencies.clock.wall());
    if (job.items === 0) {
      const message = 'input_file_id: the file has no items';
      return newFailure(newApiError('invalid_request', message, { param: 'input_file_id' }));
    }
    const key = getIdempotencyKey(exchange, bodyHash);
    const created = await dependencies.jobs.createJob(job, file.value, key);
    return created.ok
      ? respondJob(exchange, dependencies, created.value)
      : newJobFailure(created.error);
  },
};

/** GET /v1/batches/:id: one job of the team with its item counts. */
export const readBatch: Action = {
  name: 'batches.read',
  method: 'GET',
  path: '/v1/batches/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const job = await findJob(exchange, dependencies);
    return job.ok ? respondJob(exchange, dependencies, job.value) : job;
  },
};

const DEFAULT_PAGE_SIZE = 20;
const MAX_PAGE_SIZE = 100;

const getPageSize = (text: string | null): number | undefined => {
  if (text === null) return DEFAULT_PAGE_SIZE;
  const size = Number(text);
  return Number.isInteger(size) && size >= 1 && size <= MAX_PAGE_SIZE ? size : undefined;
};

/** GET /v1/batches: a page of the team's jobs, newest first. */
export const listBatches: Action = {
  name: 'batches.list',
  method: 'GET',
  path: '/v1/batches',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const query = exchange.url.searchParams;
    const limit = getPageSize(query.get('limit'));
    if (limit === undefined) {
      const message = `limit: expected a whole number from 1 to ${MAX_PAGE_SIZE}`;
      return newFailure(newApiError('invalid_request', message, { param: 'limit' }));
    }
    const afterId = query.get('after');
    const after = afterId === null ? undefined : await findJob(exchange, dependencies, afterId);
    if (after !== undefined && !after.ok) return after;
    const jobs = await dependencies.jobs.listJobs(exchange.team ?? '', after?.value, limit + 1);
    if (!jobs.ok) return newPlatformFailure(jobs.error);
    const data: object[] = [];
    for (const job of jobs.value.slice(0, limit)) {
      const counts = await dependencies.jobs.getCounts(job);
      if (!counts.ok) return newPlatformFailure(counts.error);
      data.push(getBatchObject(job, counts.value, dependencies.clock.wall()));
    }
    const page = jobs.value.slice(0, limit);
    return respondJson(exchange, {
      object: 'list',
      data,
      first_id: page[0]?.id ?? null,
      last_id: page.at(-1)?.id ?? null,
      has_more: jobs.value.length > limit,
    });
  },
};

/** POST /v1/batches/:id/cancel: cancels a job of the team. */
export const cancelBatch: Action = {
  name: 'batches.cancel',
  method: 'POST',
  path: '/v1/batches/:id/cancel',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const job = await findJob(exchange, dependencies);
    if (!job.ok) return job;
    const cancelled = await dependencies.jobs.cancelJob(job.value.id);
    if (!cancelled.ok) return newJobFailure(cancelled.error);
    dependencies.notifyJobEnded(job.value);
    return respondJob(exchange, dependencies, cancelled.value ?? job.value);
  },
};
