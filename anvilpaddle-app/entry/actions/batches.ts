import { z } from 'zod';
import { getRoute, JOB_STATE, type File, type Job } from '@anvilpaddle/decisions';
import {
  MS_PER_HOUR,
  MS_PER_SECOND,
  newFailure,
  newId,
  newOk,
  readBody,
  type Result,
} from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS, type Action } from '../action';
import { answerJson, newPlatformFailure } from '../apiResult';
import type { EntryServices, Exchange } from '../exchange';
import { parseObject } from '../json';
import { OUTPUT_SUFFIX } from './files';
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

const getSeconds = (wallMs: number): number => Math.floor(wallMs / MS_PER_SECOND);

/** Job as OpenAI's API shows a batch; times in seconds. */
const getJobBody = async (job: Job, services: EntryServices): Promise<Result<object, ApiError>> => {
  const counts = await services.jobs.getCounts(job);
  if (!counts.ok) return newPlatformFailure(counts.error);
  const isFinal = job.state === JOB_STATE.completed || job.state === JOB_STATE.cancelled;
  return newOk({
    id: job.id,
    object: 'batch',
    endpoint: job.endpoint,
    input_file_id: job.file,
    completion_window: `${Math.round((job.dueAt - job.createdAt) / MS_PER_HOUR)}h`,
    status: job.state,
    created_at: getSeconds(job.createdAt),
    expires_at: getSeconds(job.dueAt),
    output_file_id: isFinal ? `${job.id}${OUTPUT_SUFFIX}` : null,
    request_counts: counts.value,
    metadata: job.metadata ?? null,
  });
};

const answerJob = async (
  exchange: Exchange,
  services: EntryServices,
  job: Job,
): Promise<Result<void, ApiError>> => {
  const body = await getJobBody(job, services);
  return body.ok ? answerJson(exchange, body.value) : body;
};

const newJobFailure = (error: JobError) =>
  error.kind === 'platform'
    ? newPlatformFailure(error.error)
    : newFailure(newApiError('conflict', 'the job was changed at the same time'));

const parseRequest = async (exchange: Exchange): Promise<Result<JobRequest, ApiError>> => {
  const body = await readBody(exchange.request, exchange.settings['request.max_body']);
  if (!body.ok) return newFailure(newApiError('too_large', 'the body is too large'));
  const json = parseObject(body.value);
  if (!json.ok) return json;
  const parsed = requestSchema.safeParse(json.value);
  if (parsed.success) return newOk(parsed.data);
  const issue = parsed.error.issues[0];
  const param = issue?.path.join('.') ?? '';
  return newFailure(newApiError('invalid_request', `${param}: ${issue?.message}`, { param }));
};

const findFile = async (
  exchange: Exchange,
  services: EntryServices,
  id: string,
): Promise<Result<File, ApiError>> => {
  const file = await services.jobs.getFile(id);
  if (!file.ok) return newPlatformFailure(file.error);
  if (file.value !== undefined && file.value.team === exchange.team) return newOk(file.value);
  return newFailure(newApiError('not_found', `no file ${id}`, { param: 'input_file_id' }));
};

const findJob = async (
  exchange: Exchange,
  services: EntryServices,
): Promise<Result<Job, ApiError>> => {
  const id = exchange.params.id ?? '';
  const job = await services.jobs.getJob(id);
  if (!job.ok) return newPlatformFailure(job.error);
  if (job.value !== undefined && job.value.team === exchange.team) return newOk(job.value);
  return newFailure(newApiError('not_found', `no batch ${id}`));
};

/** POST /v1/batches: accepted once it is durable. */
export const createBatch: Action = {
  name: 'batches.create',
  method: 'POST',
  path: '/v1/batches',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const request = await parseRequest(exchange);
    if (!request.ok) return request;
    const { input_file_id: fileId, endpoint, completion_window: window } = request.value;
    const route = getRoute(exchange.config, endpoint);
    if (route === undefined) {
      return newFailure(
        newApiError('invalid_request', `endpoint: no route for ${endpoint}`, { param: 'endpoint' }),
      );
    }
    const file = await findFile(exchange, services, fileId);
    if (!file.ok) return file;
    const createdAt = services.clock.wall();
    const windowMs =
      window === undefined
        ? exchange.settings['batch.completion_window']
        : Number.parseInt(window, 10) * MS_PER_HOUR;
    const created = await services.jobs.createJob(
      {
        id: newId('batch'),
        team: exchange.team ?? '',
        state: JOB_STATE.inProgress,
        file: fileId,
        endpoint,
        route: route.name,
        group: route.group,
        chunks: file.value.parts.length,
        items: file.value.parts.reduce((sum, count) => sum + count, 0),
        createdAt,
        dueAt: createdAt + windowMs,
        metadata: request.value.metadata,
      },
      file.value,
    );
    return created.ok ? answerJob(exchange, services, created.value) : newJobFailure(created.error);
  },
};

/** GET /v1/batches/:id */
export const readBatch: Action = {
  name: 'batches.read',
  method: 'GET',
  path: '/v1/batches/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const job = await findJob(exchange, services);
    return job.ok ? answerJob(exchange, services, job.value) : job;
  },
};

/** GET /v1/batches */
export const listBatches: Action = {
  name: 'batches.list',
  method: 'GET',
  path: '/v1/batches',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const jobs = await services.jobs.listJobs(exchange.team ?? '');
    if (!jobs.ok) return newPlatformFailure(jobs.error);
    const data: object[] = [];
    for (const job of jobs.value) {
      const body = await getJobBody(job, services);
      if (!body.ok) return body;
      data.push(body.value);
    }
    return answerJson(exchange, { object: 'list', data, has_more: false });
  },
};

/** POST /v1/batches/:id/cancel */
export const cancelBatch: Action = {
  name: 'batches.cancel',
  method: 'POST',
  path: '/v1/batches/:id/cancel',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const job = await findJob(exchange, services);
    if (!job.ok) return job;
    const cancelled = await services.jobs.cancelJob(job.value.id);
    if (!cancelled.ok) return newJobFailure(cancelled.error);
    return answerJob(exchange, services, cancelled.value ?? job.value);
  },
};
