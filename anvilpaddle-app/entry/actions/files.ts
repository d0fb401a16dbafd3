import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { CHUNK_STATE, type Chunk, type File, type Job } from '@anvilpaddle/decisions';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS, type Action } from '../action';
import { answerJson, newPlatformFailure } from '../apiResult';
import type { EntryServices, Exchange } from '../exchange';
import { getFileBody } from './fileBody';

/** Ending of the id of a job's result file. */
export const OUTPUT_SUFFIX = '-output';

const newMissing = (id: string) => newFailure(newApiError('not_found', `no file ${id}`));

const findFile = async (
  exchange: Exchange,
  services: EntryServices,
): Promise<Result<File, ApiError>> => {
  const id = exchange.params.id ?? '';
  const file = await services.jobs.getFile(id);
  if (!file.ok) return newPlatformFailure(file.error);
  // Another team's file is not told apart from a missing one.
  if (file.value === undefined || file.value.team !== exchange.team) return newMissing(id);
  return newOk(file.value);
};

const findResults = async (
  exchange: Exchange,
  services: EntryServices,
): Promise<Result<readonly string[], ApiError>> => {
  const id = exchange.params.id ?? '';
  const job = await services.jobs.getJob(id.slice(0, -OUTPUT_SUFFIX.length));
  if (!job.ok) return newPlatformFailure(job.error);
  if (job.value === undefined || job.value.team !== exchange.team) return newMissing(id);
  const chunks = await services.jobs.listChunks((job.value satisfies Job).id);
  if (!chunks.ok) return newPlatformFailure(chunks.error);
  const isDone = (chunk: Chunk): boolean => chunk.state === CHUNK_STATE.done;
  return newOk(chunks.value.filter(isDone).map(({ output }) => output ?? ''));
};

const write = async (response: ServerResponse, body: Buffer): Promise<void> => {
  if (!response.write(body)) await once(response, 'drain');
};

const sendObjects = async (
  exchange: Exchange,
  services: EntryServices,
  keys: readonly string[],
): Promise<Result<void, ApiError>> => {
  exchange.response.writeHead(200, { 'content-type': 'application/jsonl' });
  for (const key of keys) {
    const body = await services.jobs.readObject(key);
    if (!body.ok) return newPlatformFailure(body.error);
    if (body.value === undefined) return newFailure(newApiError('internal', `lost object ${key}`));
    await write(exchange.response, body.value);
  }
  exchange.response.end();
  return newOk(undefined);
};

/** GET /v1/files/:id */
export const readFile: Action = {
  name: 'files.read',
  method: 'GET',
  path: '/v1/files/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const file = await findFile(exchange, services);
    return file.ok ? answerJson(exchange, getFileBody(file.value)) : file;
  },
};

/** DELETE /v1/files/:id */
export const removeFile: Action = {
  name: 'files.remove',
  method: 'DELETE',
  path: '/v1/files/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const file = await findFile(exchange, services);
    if (!file.ok) return file;
    const removed = await services.jobs.removeFile(file.value);
    if (!removed.ok) return newPlatformFailure(removed.error);
    return answerJson(exchange, { id: file.value.id, object: 'file', deleted: true });
  },
};

/** GET /v1/files/:id/content: a file's lines, or a job's results in the order of its input. */
export const readFileContent: Action = {
  name: 'files.content',
  method: 'GET',
  path: '/v1/files/:id/content',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const id = exchange.params.id ?? '';
    if (id.endsWith(OUTPUT_SUFFIX)) {
      const keys = await findResults(exchange, services);
      return keys.ok ? sendObjects(exchange, services, keys.value) : keys;
    }
    const file = await findFile(exchange, services);
    if (!file.ok) return file;
    const keys = file.value.parts.map((_, index) => services.jobs.getPartKey(id, index));
    return sendObjects(exchange, services, keys);
  },
};
