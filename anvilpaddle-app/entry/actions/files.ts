import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { File, Job } from '@anvilpaddle/decisions';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS } from '../action';
import type { Action, EntryDependencies, Exchange } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';
import { getDoneChunks, type JobError } from '../../controllers/jobController';
import { getFileObject } from './fileObject';
import { parseResultFileId, RESULT_FILE_SUFFIX, type ResultFile } from './batchObject';

const newMissing = (id: string) => newFailure(newApiError('not_found', `no file ${id}`));

const findFile = async (
  exchange: Exchange,
  services: EntryDependencies,
): Promise<Result<File, ApiError>> => {
  const id = exchange.params.id ?? '';
  const file = await services.jobs.getFile(id);
  if (!file.ok) return newPlatformFailure(file.error);
  // Another team's file is not told apart from a missing one.
  if (file.value === undefined || file.value.team !== exchange.team) return newMissing(id);
  return newOk(file.value);
};

const newJobFailure = (error: JobError) =>
  error.kind === 'platform'
    ? newPlatformFailure(error.error)
    : newFailure(newApiError('conflict', error.detail));

const findResultJob = async (
  exchange: Exchange,
  services: EntryDependencies,
  file: ResultFile,
): Promise<Result<Job, ApiError>> => {
  const job = await services.jobs.getJob(file.job);
  if (!job.ok) return newPlatformFailure(job.error);
  const isThere = job.value?.team === exchange.team && job.value?.resultsRemoved !== true;
  return isThere && job.value !== undefined
    ? newOk(job.value)
    : newMissing(`${file.job}${RESULT_FILE_SUFFIX[file.kind]}`);
};

const findResults = async (
  exchange: Exchange,
  services: EntryDependencies,
  file: ResultFile,
): Promise<Result<readonly string[], ApiError>> => {
  const job = await findResultJob(exchange, services, file);
  if (!job.ok) return job;
  const chunks = await services.jobs.listChunks(job.value.id);
  if (!chunks.ok) return newPlatformFailure(chunks.error);
  const keys = getDoneChunks(chunks.value).map((chunk) => chunk[file.kind]);
  return newOk(keys.filter((key) => key !== undefined));
};

const removeResults = async (
  exchange: Exchange,
  services: EntryDependencies,
  file: ResultFile,
): Promise<Result<void, ApiError>> => {
  const job = await findResultJob(exchange, services, file);
  if (!job.ok) return job;
  const removed = await services.jobs.removeResults(job.value);
  if (!removed.ok) return newJobFailure(removed.error);
  return respondJson(exchange, { id: exchange.params.id, object: 'file', deleted: true });
};

const write = async (
  response: ServerResponse,
  body: Buffer,
  signal: AbortSignal,
): Promise<void> => {
  if (!response.write(body)) await once(response, 'drain', { signal });
};

/** Sends objects one after the other; a part that can't be read cuts the answer short visibly. */
const sendObjects = async (
  exchange: Exchange,
  services: EntryDependencies,
  keys: readonly string[],
): Promise<Result<void, ApiError>> => {
  const { response, signal } = exchange;
  const read = async (key: string): Promise<Result<Buffer, ApiError>> => {
    const body = await services.jobs.readObject(key);
    if (!body.ok) return newPlatformFailure(body.error);
    if (body.value !== undefined) return newOk(body.value);
    return newFailure(newApiError('internal', `lost object ${key}`));
  };
  // The first object is read before the status line goes out, which can't be taken back.
  const [firstKey, ...otherKeys] = keys;
  const first = firstKey === undefined ? newOk(Buffer.alloc(0)) : await read(firstKey);
  if (!first.ok) return first;
  response.writeHead(200, { 'content-type': 'application/jsonl' });
  try {
    await write(response, first.value, signal);
    for (const key of otherKeys) {
      const body = await read(key);
      if (!body.ok) {
        response.destroy();
        return body;
      }
      await write(response, body.value, signal);
    }
  } catch {
    return newFailure(newApiError('internal', 'the caller is gone'));
  }
  response.end();
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
    return file.ok ? respondJson(exchange, getFileObject(file.value)) : file;
  },
};

/** DELETE /v1/files/:id */
export const removeFile: Action = {
  name: 'files.remove',
  method: 'DELETE',
  path: '/v1/files/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const results = parseResultFileId(exchange.params.id ?? '');
    if (results !== undefined) return removeResults(exchange, services, results);
    const file = await findFile(exchange, services);
    if (!file.ok) return file;
    const removed = await services.jobs.removeFile(file.value);
    if (!removed.ok) return newJobFailure(removed.error);
    return respondJson(exchange, { id: file.value.id, object: 'file', deleted: true });
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
    const results = parseResultFileId(id);
    if (results !== undefined) {
      const keys = await findResults(exchange, services, results);
      return keys.ok ? sendObjects(exchange, services, keys.value) : keys;
    }
    const file = await findFile(exchange, services);
    if (!file.ok) return file;
    const keys = file.value.parts.map((_, index) => services.jobs.getPartKey(id, index));
    return sendObjects(exchange, services, keys);
  },
};
