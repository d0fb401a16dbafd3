import { parseItem, type Chunk, type Item, type ItemRules } from '@anvilpaddle/decisions';
import { newErrorResult, type ItemResult } from './itemResult';

/** What is left to do of a chunk. */
export interface ChunkInput {
  /** Items that are to run; undefined where there is a result. */
  readonly items: readonly (Item | undefined)[];
  /** Results that need no run. */
  readonly results: (ItemResult | undefined)[];
}

interface PartialResult extends ItemResult {
  /** Number of the line in the input object. */
  readonly lineNumber: number;
}

/** Results of an unfinished chunk as the content of an object. */
export const formatPartialResults = (
  from: number,
  results: readonly (ItemResult | undefined)[],
): Buffer => {
  const lines = results.flatMap((result, place) =>
    result === undefined ? [] : [`${JSON.stringify({ lineNumber: from + place, ...result })}\n`],
  );
  return Buffer.from(lines.join(''));
};

const getPartialResults = (content: Buffer | undefined): PartialResult[] =>
  String(content ?? '')
    .split('\n')
    .filter(Boolean)
    .map((line) => JSON.parse(line) as PartialResult);

const getMissingInput = (): ItemResult =>
  newErrorResult(null, { code: 'input_lost', message: 'the input of the item is gone' });

const getDuplicate = (customId: string): ItemResult =>
  newErrorResult(customId, {
    code: 'invalid_request',
    message: 'custom_id: used by an earlier item',
    param: 'custom_id',
  });

const getOutcomeUnknown = (customId: string): ItemResult =>
  newErrorResult(customId, {
    code: 'outcome_unknown',
    message: 'the call may have been sent by a sidecar that was lost, and may not be repeated',
  });

const getExhausted = (customId: string): ItemResult =>
  newErrorResult(customId, {
    code: 'attempts_exhausted',
    message: 'each try ended with the loss of the worker',
  });

/** Items and early results of a chunk, from its input and from what earlier owners have left. */
export const getChunkInput = (
  chunk: Chunk,
  input: Buffer | undefined,
  partial: Buffer | undefined,
  rules: ItemRules,
  isExhausted: boolean,
): ChunkInput => {
  const all = String(input ?? '').split('\n');
  const lines = all.slice(chunk.from, chunk.from + chunk.items);
  const results: (ItemResult | undefined)[] = [];
  const started = new Set(chunk.started);
  const customIds = new Set<string>();
  const items = Array.from({ length: chunk.items }, (_, place): Item | undefined => {
    const line = lines[place];
    if (line === undefined || line === '') {
      results[place] = getMissingInput();
      return undefined;
    }
    const item = parseItem(line, rules);
    if (!item.ok) {
      results[place] = newErrorResult(item.error.customId, item.error.error);
      return undefined;
    }
    const { customId, isRepeatable } = item.value;
    if (customIds.has(customId)) results[place] = getDuplicate(customId);
    else if (started.has(place) && !isRepeatable) results[place] = getOutcomeUnknown(customId);
    else if (isExhausted) results[place] = getExhausted(customId);
    customIds.add(customId);
    return item.value;
  });
  // A piece of a split chunk sees only its own lines of the whole chunk's partial results.
  getPartialResults(partial).forEach(({ lineNumber, line, failed }) => {
    const place = lineNumber - chunk.from;
    if (place >= 0 && place < chunk.items) results[place] = { line, failed };
  });
  return {
    items: items.map((item, place) => (results[place] === undefined ? item : undefined)),
    results: Array.from({ length: chunk.items }, (_, place) => results[place]),
  };
};
