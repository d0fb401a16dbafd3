/** Metadata, content and removal of input files and result files. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { File, Job } from '@anvilpaddle/decisions';
import { breakOffResponse, newFailure, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { ACTION_ACCESS } from '../action';
import type { Action, EntryDependencies, Exchange } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';
import { getDoneChunks, type JobError } from '../../controllers/jobController';
import { getFileObject } from './fileObject';
import { parseResultFileId, RESULT_FILE_SUFFIX, type ResultFile } from './batchObject';

const newNotFoundFailure = (id: string) => newFailure(newApiError('not_found', `no file ${id}`));

const findFile = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
): Promise<Result<File, ApiError>> => {
  const id = exchange.params.id ?? '';
  const file = await dependencies.jobs.getFile(id);
  if (!file.ok) return newPlatformFailure(file.error);
  // For another team's file the response is the same as for a file that does not exist.
  if (file.value === undefined || file.value.team !== exchange.team) return newNotFoundFailure(id);
  return newOk(file.value);
};

const newJobFailure = (error: JobError) =>
  error.kind === 'platform'
    ? newPlatformFailure(error.error)
    : newFailure(newApiError('conflict', error.detail));

const findResultJob = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  file: ResultFile,
): Promise<Result<Job, ApiError>> => {
  const job = await dependencies.jobs.getJob(file.job);
  if (!job.ok) return newPlatformFailure(job.error);
  const isAvailable = job.value?.team === exchange.team && job.value?.resultsRemoved !== true;
  return isAvailable && job.value !== undefined
    ? newOk(job.value)
    : newNotFoundFailure(`${file.job}${RESULT_FILE_SUFFIX[file.kind]}`);
};

const findResultKeys = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  file: ResultFile,
): Promise<Result<readonly string[], ApiError>> => {
  const job = await findResultJob(exchange, dependencies, file);
  if (!job.ok) return job;
  const chunks = await dependencies.jobs.listChunks(job.value.id);
  if (!chunks.ok) return newPlatformFailure(chunks.error);
  const keys = getDoneChunks(chunks.value).map((chunk) => chunk[file.kind]);
  return newOk(keys.filter((key) => key !== undefined));
};

const removeResults = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  file: ResultFile,
): Promise<Result<void, ApiError>> => {
  const job = await findResultJob(exchange, dependencies, file);
  if (!job.ok) return job;
  const removed = await dependencies.jobs.removeResults(job.value);
  if (!removed.ok) return newJobFailure(removed.error);
  return respondJson(exchange, { id: exchange.params.id, object: 'file', deleted: true });
};

const writeBody = async (
  response: ServerResponse,
  body: Buffer,
  signal: AbortSignal,
): Promise<void> => {
  if (!response.write(body)) await once(response, 'drain', { signal });
};

/** Sends objects in order; one that can't be read cuts the connection, which the caller notices. */
const sendObjects = async (
  exchange: Exchange,
  dependencies: EntryDependencies,
  keys: readonly string[],
): Promise<Result<void, ApiError>> => {
  const { response, signal } = exchange;
  const readObject = async (key: string): Promise<Result<Buffer, ApiError>> => {
    const body = await dependencies.jobs.readObject(key);
    if (!body.ok) return newPlatformFailure(body.error);
    if (body.value !== undefined) return newOk(body.value);
    return newFailure(newApiError('internal', `lost object ${key}`));
  };
  // The first object is read before the status line is sent, so that an error can set the status.
  const [firstKey, ...otherKeys] = keys;
  const firstBody = firstKey === undefined ? newOk(Buffer.alloc(0)) : await readObject(firstKey);
  if (!firstBody.ok) return firstBody;
  response.writeHead(200, { 'content-type': 'application/jsonl' });
  try {
    await writeBody(response, firstBody.value, signal);
    for (const key of otherKeys) {
      const body = await readObject(key);
      if (!body.ok) {
        breakOffResponse(response);
        return body;
      }
      await writeBody(response, body.value, signal);
    }
  } catch {
    return newFailure(newApiError('internal', 'the caller is gone'));
  }
  response.end();
  return newOk(undefined);
};

/** GET /v1/files/:id: metadata of an input file. */
export const readFile: Action = {
  name: 'files.read',
  method: 'GET',
  path: '/v1/files/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const file = await findFile(exchange, dependencies);
    return file.ok ? respondJson(exchange, getFileObject(file.value)) : file;
  },
};

/** DELETE /v1/files/:id: removes an input file, or the results of a job. */
export const removeFile: Action = {
  name: 'files.remove',
  method: 'DELETE',
  path: '/v1/files/:id',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const results = parseResultFileId(exchange.params.id ?? '');
    if (results !== undefined) return removeResults(exchange, dependencies, results);
    const file = await findFile(exchange, dependencies);
    if (!file.ok) return file;
    const removed = await dependencies.jobs.removeFile(file.value);
    if (!removed.ok) return newJobFailure(removed.error);
    return respondJson(exchange, { id: file.value.id, object: 'file', deleted: true });
  },
};

/** GET /v1/files/:id/content: lines of an input file, or a job's results in input order. */
export const readFileContent: Action = {
  name: 'files.content',
  method: 'GET',
  path: '/v1/files/:id/content',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const id = exchange.params.id ?? '';
    const results = parseResultFileId(id);
    if (results !== undefined) {
      const keys = await findResultKeys(exchange, dependencies, results);
      return keys.ok ? sendObjects(exchange, dependencies, keys.value) : keys;
    }
    const file = await findFile(exchange, dependencies);
    if (!file.ok) return file;
    const keys = file.value.parts.map((_, index) => dependencies.jobs.getPartKey(id, index));
    return sendObjects(exchange, dependencies, keys);
  },
};
