/** Reads the input of a chunk and the results that earlier owners have stored. */
import { parseItem, type Chunk, type Item, type ItemRules } from '@anvilpaddle/decisions';
import { newErrorResult, type ItemResult } from './itemResult';

/** Items and results of a chunk at the start of its run, by position. */
export interface ChunkInput {
  /** Items that have to run; undefined where there is a result. */
  readonly items: readonly (Item | undefined)[];
  /** Results of items that need not run; undefined for the others. */
  readonly results: (ItemResult | undefined)[];
}

interface PartialResult extends ItemResult {
  /** Number of the line in the input object. */
  readonly lineNumber: number;
}

/** Formats the results of an unfinished chunk for the object store, one JSON line each. */
export const formatPartialResults = (
  from: number,
  results: readonly (ItemResult | undefined)[],
): Buffer => {
  const lines = results.flatMap((result, position) =>
    result === undefined ? [] : [`${JSON.stringify({ lineNumber: from + position, ...result })}\n`],
  );
  return Buffer.from(lines.join(''));
};

const parsePartialResults = (content: Buffer | undefined): PartialResult[] =>
  String(content ?? '')
    .split('\n')
    .filter(Boolean)
    .map((line) => JSON.parse(line) as PartialResult);

const newLostInput = (): ItemResult =>
  newErrorResult(null, { code: 'input_lost', message: 'the input of the item is gone' });

const newDuplicateId = (customId: string): ItemResult =>
  newErrorResult(customId, {
    code: 'invalid_request',
    message: 'custom_id: used by an earlier item',
    param: 'custom_id',
  });

const newLostOutcome = (customId: string): ItemResult =>
  newErrorResult(customId, {
    code: 'outcome_unknown',
    message: 'the call may have been sent by a sidecar that was lost, and may not be repeated',
  });

const newExhaustedItem = (customId: string): ItemResult =>
  newErrorResult(customId, {
    code: 'attempts_exhausted',
    message: 'each try ended with the loss of the worker',
  });

/** Items and known results of a chunk, from its input and the partial results of earlier owners. */
export const getChunkInput = (
  chunk: Chunk,
  input: Buffer | undefined,
  partial: Buffer | undefined,
  rules: ItemRules,
  isExhausted: boolean,
): ChunkInput => {
  const inputLines = String(input ?? '').split('\n');
  const lines = inputLines.slice(chunk.from, chunk.from + chunk.items);
  const results: (ItemResult | undefined)[] = [];
  const started = new Set(chunk.started);
  const customIds = new Set<string>();
  const items = Array.from({ length: chunk.items }, (_, position): Item | undefined => {
    const line = lines[position];
    if (line === undefined || line === '') {
      results[position] = newLostInput();
      return undefined;
    }
    const item = parseItem(line, rules);
    if (!item.ok) {
      results[position] = newErrorResult(item.error.customId, item.error.error);
      return undefined;
    }
    const { customId, isRepeatable } = item.value;
    if (customIds.has(customId)) results[position] = newDuplicateId(customId);
    else if (started.has(position) && !isRepeatable) results[position] = newLostOutcome(customId);
    else if (isExhausted) results[position] = newExhaustedItem(customId);
    customIds.add(customId);
    return item.value;
  });
  // The partial results are those of the whole chunk; a piece of a split chunk takes only its own.
  parsePartialResults(partial).forEach(({ lineNumber, line, failed }) => {
    const position = lineNumber - chunk.from;
    if (position >= 0 && position < chunk.items) results[position] = { line, failed };
  });
  return {
    items: items.map((item, position) => (results[position] === undefined ? item : undefined)),
    results: Array.from({ length: chunk.items }, (_, position) => results[position]),
  };
};
