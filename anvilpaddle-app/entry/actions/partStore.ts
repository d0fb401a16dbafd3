import type { Readable } from 'node:stream';
import { getLineModel, MAX_LINE_BYTES, newLineSplitter } from '@anvilpaddle/decisions';
import { BYTES_PER_MIB, newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from '@anvilpaddle/platform';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { newPlatformFailure } from '../apiResult';

/** Items in one part of a file, and so in one chunk of a job. */
export const MAX_ITEMS_PER_PART = 256;
/** Bytes after which a part is closed, whatever its number of items. */
export const PART_BYTES_THRESHOLD = 4 * BYTES_PER_MIB;
const MAX_MODELS_PER_PART = 64;

/** What has been stored of a file. */
export interface StoredParts {
  /** Number of items in each part. */
  readonly counts: number[];
  /** Models that the items of each part name. */
  readonly models: string[][];
  readonly bytes: number;
}

/** Where parts go. */
export interface PartStore {
  putPart(index: number, body: Buffer): Promise<Result<void, PlatformError>>;
  dropParts(count: number): Promise<void>;
}

const newTooLarge = (limitBytes: number): ApiError =>
  newApiError('too_large', `file: larger than ${limitBytes} bytes`, { param: 'file' });

/**
 * Stores a stream of lines in parts. Holds one part in memory, and reads on only when it is stored.
 * After a failure the parts are removed.
 */
export const storeParts = async (
  content: Readable,
  limitBytes: number,
  store: PartStore,
): Promise<Result<StoredParts, ApiError>> => {
  const splitter = newLineSplitter(MAX_LINE_BYTES);
  const counts: number[] = [];
  const models: string[][] = [];
  let lines: string[] = [];
  let lineBytes = 0;
  let bytes = 0;

  const flush = async (): Promise<Result<void, ApiError>> => {
    if (lines.length === 0) return newOk(undefined);
    const body = Buffer.from(lines.map((line) => `${line}\n`).join(''));
    const stored = await store.putPart(counts.length, body);
    if (!stored.ok) return newPlatformFailure(stored.error);
    const named = new Set(lines.map(getLineModel).filter((model) => model !== undefined));
    counts.push(lines.length);
    models.push([...named].slice(0, MAX_MODELS_PER_PART));
    lines = [];
    lineBytes = 0;
    return newOk(undefined);
  };

  const add = async (some: readonly string[]): Promise<Result<void, ApiError>> => {
    for (const line of some) {
      lines.push(line);
      lineBytes += line.length;
      if (lines.length < MAX_ITEMS_PER_PART && lineBytes < PART_BYTES_THRESHOLD) continue;
      const flushed = await flush();
      if (!flushed.ok) return flushed;
    }
    return newOk(undefined);
  };

  const receive = async (): Promise<Result<void, ApiError>> => {
    try {
      // The stream stays open after a failure: its rest has to be read and thrown away.
      const chunks = content.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
      for await (const chunk of chunks) {
        bytes += chunk.length;
        if (bytes > limitBytes) return newFailure(newTooLarge(limitBytes));
        const added = await add(splitter.push(chunk));
        if (!added.ok) return added;
      }
    } catch {
      return newFailure(newApiError('invalid_request', 'file: the upload was cut'));
    }
    const added = await add(splitter.end());
    return added.ok ? flush() : added;
  };

  const received = await receive();
  if (received.ok) return newOk({ counts, models, bytes });
  // One more than stored: the answer to the last one may have been lost.
  await store.dropParts(counts.length + 1);
  return received;
};
