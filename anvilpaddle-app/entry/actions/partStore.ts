/** Splitting of uploaded files into stored parts. */
import type { Readable } from 'node:stream';
import { getLineModel, MAX_LINE_BYTES, newLineSplitter } from '@anvilpaddle/decisions';
import { BYTES_PER_MIB, newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from '@anvilpaddle/platform';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import { newPlatformFailure } from '../apiResult';

/** Maximum number of items in a part of a file, and so in a chunk of a job. */
export const MAX_ITEMS_PER_PART = 256;
/**
 * Length at which a part is closed, whatever its number of items. It is counted in UTF-16 code units
 * without line ends, so that a part's stored bytes may be more.
 */
export const PART_BYTES_THRESHOLD = 4 * BYTES_PER_MIB;
const MAX_MODELS_PER_PART = 64;

/** Parts of a file that were stored. */
export interface StoredParts {
  /** Number of items in each part. */
  readonly counts: number[];
  /** Models that the items of each part name. */
  readonly models: string[][];
  readonly bytes: number;
}

/** Storage for the parts of one file. */
export interface PartStore {
  putPart(index: number, body: Buffer): Promise<Result<void, PlatformError>>;
  dropParts(count: number): Promise<void>;
}

const newTooLarge = (limitBytes: number): ApiError =>
  newApiError('too_large', `file: larger than ${limitBytes} bytes`, { param: 'file' });

/**
 * Splits a stream of lines into parts and stores them. Only one part is held in memory: reading
 * continues once it is stored. After a failure the stored parts are removed.
 */
export const storeParts = async (
  content: Readable,
  limitBytes: number,
  store: PartStore,
): Promise<Result<StoredParts, ApiError>> => {
  const lineSplitter = newLineSplitter(MAX_LINE_BYTES);
  const counts: number[] = [];
  const models: string[][] = [];
  let pendingLines: string[] = [];
  let pendingChars = 0;
  let bytes = 0;

  const storePart = async (): Promise<Result<void, ApiError>> => {
    if (pendingLines.length === 0) return newOk(undefined);
    const body = Buffer.from(pendingLines.map((line) => `${line}\n`).join(''));
    const stored = await store.putPart(counts.length, body);
    if (!stored.ok) return newPlatformFailure(stored.error);
    const namedModels = new Set(
      pendingLines.map(getLineModel).filter((model) => model !== undefined),
    );
    counts.push(pendingLines.length);
    models.push([...namedModels].slice(0, MAX_MODELS_PER_PART));
    pendingLines = [];
    pendingChars = 0;
    return newOk(undefined);
  };

  const addLines = async (newLines: readonly string[]): Promise<Result<void, ApiError>> => {
    for (const line of newLines) {
      pendingLines.push(line);
      pendingChars += line.length;
      if (pendingLines.length < MAX_ITEMS_PER_PART && pendingChars < PART_BYTES_THRESHOLD) continue;
      const stored = await storePart();
      if (!stored.ok) return stored;
    }
    return newOk(undefined);
  };

  const readContent = async (): Promise<Result<void, ApiError>> => {
    try {
      // The stream stays open after a failure, because its rest must be read and discarded.
      const chunks = content.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
      for await (const chunk of chunks) {
        bytes += chunk.length;
        if (bytes > limitBytes) return newFailure(newTooLarge(limitBytes));
        const stored = await addLines(lineSplitter.push(chunk));
        if (!stored.ok) return stored;
      }
    } catch {
      return newFailure(newApiError('invalid_request', 'file: the upload was cut'));
    }
    const stored = await addLines(lineSplitter.end());
    return stored.ok ? storePart() : stored;
  };

  const readResult = await readContent();
  if (readResult.ok) return newOk({ counts, models, bytes });
  // One part more than counted: its write may have succeeded although it reported an error.
  await store.dropParts(counts.length + 1);
  return readResult;
};
