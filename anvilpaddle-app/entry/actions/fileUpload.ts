/** Upload of input files for batches. */
import busboy from 'busboy';
import { pipeline } from 'node:stream/promises';
import { newFailure, newId, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import type { File } from '@anvilpaddle/decisions';
import { ACTION_ACCESS } from '../action';
import type { Action, EntryDependencies, Exchange } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';
import { getFileObject } from './fileObject';
import { storeParts, type PartStore, type StoredParts } from './partStore';

interface Upload {
  readonly name: string;
  readonly parts: StoredParts;
  readonly fields: ReadonlyMap<string, string>;
}

interface StoredFile {
  readonly name: string;
  readonly parts: StoredParts;
}

const newMalformedFailure = () =>
  newFailure(newApiError('invalid_request', 'expected multipart/form-data'));

const newFormParser = (exchange: Exchange): busboy.Busboy | undefined => {
  try {
    return busboy({ headers: exchange.request.headers, limits: { files: 1, fields: 20 } });
  } catch {
    return undefined;
  }
};

const readUpload = async (
  exchange: Exchange,
  store: PartStore,
): Promise<Result<Upload, ApiError>> => {
  const form = newFormParser(exchange);
  if (form === undefined) return newMalformedFailure();
  const fields = new Map<string, string>();
  let stored: Promise<Result<StoredFile, ApiError>> | undefined;
  form.on('field', (name, value) => fields.set(name, value));
  form.on('file', (_name, content, { filename }) => {
    const limitBytes = exchange.settings['files.max_size'];
    stored = storeParts(content, limitBytes, store).then((parts) => {
      if (parts.ok) return newOk({ name: filename ?? '', parts: parts.value });
      // The rest of the file is read and discarded, so that the response reaches the caller.
      content.resume();
      return parts;
    });
  });
  const isComplete = await pipeline(exchange.request, form, { signal: exchange.signal }).then(
    () => true,
    () => false,
  );
  const file = await stored;
  if (file !== undefined && !file.ok) return file;
  if (isComplete && file !== undefined) return newOk({ ...file.value, fields });
  if (file !== undefined) await store.dropParts(file.value.parts.counts.length);
  if (!isComplete) return newMalformedFailure();
  return newFailure(newApiError('invalid_request', 'file: missing', { param: 'file' }));
};

const newPartStore = (dependencies: EntryDependencies, id: string): PartStore => ({
  putPart: (index, body) => dependencies.jobs.putPart(id, index, body),
  dropParts: (count) => dependencies.jobs.dropParts(id, count),
});

/** POST /v1/files: stores a file of JSON lines as it is uploaded. */
export const uploadFile: Action = {
  name: 'files.create',
  method: 'POST',
  path: '/v1/files',
  access: ACTION_ACCESS.team,
  run: async (exchange, dependencies) => {
    const id = newId('file');
    const upload = await readUpload(exchange, newPartStore(dependencies, id));
    if (!upload.ok) return upload;
    const { name, parts, fields } = upload.value;
    const file: File = {
      id,
      team: exchange.team ?? '',
      name,
      purpose: fields.get('purpose') ?? 'batch',
      bytes: parts.bytes,
      createdAt: dependencies.clock.wall(),
      parts: parts.counts,
      models: parts.models,
    };
    const created = await dependencies.jobs.createFile(file);
    if (created.ok) return respondJson(exchange, getFileObject(file));
    return created.error.kind === 'platform'
      ? newPlatformFailure(created.error.error)
      : newFailure(newApiError('conflict', created.error.detail));
  },
};
