import busboy from 'busboy';
import { StringDecoder } from 'node:string_decoder';
import type { Readable } from 'node:stream';
import { newFailure, newId, newOk, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import type { File } from '@anvilpaddle/decisions';
import { ACTION_ACCESS, type Action } from '../action';
import { answerJson, newPlatformFailure } from '../apiResult';
import type { EntryServices, Exchange } from '../exchange';
import { getFileBody } from './fileBody';

/** Items in one part of a file, and so in one chunk of a job. */
const ITEMS_PER_PART = 256;
const MAX_LINE_CHARS = 1_048_576;

interface Parts {
  readonly counts: readonly number[];
  readonly bytes: number;
}

/** Stores a stream of lines in parts; holds one part in memory. */
const storeParts = async (
  id: string,
  content: Readable,
  limitBytes: number,
  services: EntryServices,
): Promise<Result<Parts, ApiError>> => {
  const decoder = new StringDecoder('utf8');
  const counts: number[] = [];
  let lines: string[] = [];
  let rest = '';
  let bytes = 0;

  const flush = async (): Promise<Result<void, ApiError>> => {
    const body = Buffer.from(lines.map((line) => `${line}\n`).join(''));
    const stored = await services.jobs.putPart(id, counts.length, body);
    if (!stored.ok) return newPlatformFailure(stored.error);
    counts.push(lines.length);
    lines = [];
    return newOk(undefined);
  };

  for await (const chunk of content as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limitBytes) {
      return newFailure(
        newApiError('too_large', `file: larger than ${limitBytes} bytes`, { param: 'file' }),
      );
    }
    const pieces = (rest + decoder.write(chunk)).split('\n');
    rest = pieces.pop() ?? '';
    if (rest.length > MAX_LINE_CHARS) {
      return newFailure(
        newApiError('too_large', `file: a line is longer than ${MAX_LINE_CHARS} characters`, {
          param: 'file',
        }),
      );
    }
    for (const line of pieces.filter((piece) => piece.trim() !== '')) {
      lines.push(line);
      if (lines.length === ITEMS_PER_PART) {
        const flushed = await flush();
        if (!flushed.ok) return flushed;
      }
    }
  }
  if (rest.trim() !== '') lines.push(rest);
  if (lines.length > 0) {
    const flushed = await flush();
    if (!flushed.ok) return flushed;
  }
  return newOk({ counts, bytes });
};

interface Upload {
  readonly name: string;
  readonly parts: Parts;
  readonly fields: ReadonlyMap<string, string>;
}

const receive = (
  id: string,
  exchange: Exchange,
  services: EntryServices,
): Promise<Result<Upload, ApiError>> =>
  new Promise((resolve) => {
    const fields = new Map<string, string>();
    let stored: Promise<Result<{ name: string; parts: Parts }, ApiError>> | undefined;
    const fail = (): void =>
      resolve(newFailure(newApiError('invalid_request', 'expected multipart/form-data')));
    let form: busboy.Busboy;
    try {
      form = busboy({ headers: exchange.request.headers, limits: { files: 1, fields: 20 } });
    } catch {
      fail();
      return;
    }
    form.on('field', (name, value) => fields.set(name, value));
    form.on('file', (_name, content, { filename }) => {
      const limitBytes = exchange.settings['files.max_size'];
      stored = storeParts(id, content, limitBytes, services).then((parts) => {
        if (parts.ok) return newOk({ name: filename ?? '', parts: parts.value });
        content.resume();
        resolve(parts);
        return parts;
      });
    });
    form.on('error', fail);
    form.on('close', () => {
      if (stored === undefined) {
        resolve(newFailure(newApiError('invalid_request', 'file: missing', { param: 'file' })));
        return;
      }
      void stored.then((file) => resolve(file.ok ? newOk({ ...file.value, fields }) : file));
    });
    exchange.request.pipe(form);
  });

/** POST /v1/files: stores a file of JSON lines, streamed. */
export const uploadFile: Action = {
  name: 'files.create',
  method: 'POST',
  path: '/v1/files',
  access: ACTION_ACCESS.team,
  run: async (exchange, services) => {
    const id = newId('file');
    const upload = await receive(id, exchange, services);
    if (!upload.ok) return upload;
    const { name, parts, fields } = upload.value;
    const file: File = {
      id,
      team: exchange.team ?? '',
      name,
      purpose: fields.get('purpose') ?? 'batch',
      bytes: parts.bytes,
      createdAt: services.clock.wall(),
      parts: [...parts.counts],
    };
    const created = await services.jobs.createFile(file);
    if (!created.ok) {
      return created.error.kind === 'platform'
        ? newPlatformFailure(created.error.error)
        : newFailure(newApiError('conflict', `file ${id} exists`));
    }
    return answerJson(exchange, getFileBody(file));
  },
};
