/** Run of one claimed chunk, from its input to the commit or release. */
import { setMaxListeners } from 'node:events';
import type { Item, ItemRules, Job } from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import type { ObjectStore, TableService } from '@anvilpaddle/platform';
import { getChunkInput, formatPartialResults } from './chunkInput';
import {
  newChunkRowWriter,
  type ChunkRowWriter,
  type Claim,
  type WriteOutcome,
} from './chunkRowWriter';
import type { ItemResult } from './itemResult';
import { getRetryDelayMs, retryCall, wait } from './verifiedCommit';
import { getChunkRowKey } from './tables';

/** An item to run, with its position in the chunk. */
export interface PositionedItem {
  readonly position: number;
  readonly item: Item;
}

/** Items and results of one claimed chunk while a sidecar works on it. */
export interface ChunkRun {
  readonly key: string;
  readonly job: Job;
  readonly rowWriter: ChunkRowWriter;
  /** Aborted to cancel the running items. */
  readonly signal: AbortSignal;
  /** Reads the input; resolves to false when the chunk was abandoned meanwhile. */
  load(rules: ItemRules): Promise<boolean>;
  /** Takes the next item off the queue; undefined when no item is left that can run here. */
  next(): PositionedItem | undefined;
  /** Number of items in the queue. */
  pending(): number;
  /** Number of items taken with `next` and not yet ended. */
  running(): number;
  /** Ends an item that was taken with `next`, with its result if there is one. */
  endItem(position: number, result: ItemResult | undefined): void;
  /** Whether no item is queued or running; items that can't run here may be left. */
  isFinished(): boolean;
  /** Length of the results that wait for the commit. */
  heldBytes(): number;
  /** Commits the results, or releases the chunk when some items have none. */
  finish(): Promise<WriteOutcome>;
  /** Cancels the running items and releases the chunk with the results so far. */
  release(): Promise<WriteOutcome>;
  /** Cancels the running items and all further writes. */
  abandon(): void;
}

const MAX_RELEASE_ATTEMPTS = 3;

/** Creates the run of a claim; `canRun` tells whether items of the model can run here. */
export const newChunkRun = (
  dependencies: {
    readonly tables: TableService;
    readonly objects: ObjectStore;
    readonly clock: Clock;
  },
  claim: Claim,
  canRun: (model: string) => boolean,
): ChunkRun => {
  const { objects, clock } = dependencies;
  const { chunk, job } = claim;
  const itemCancellation = new AbortController();
  const abandonment = new AbortController();
  setMaxListeners(0, itemCancellation.signal, abandonment.signal);
  const rowWriter = newChunkRowWriter(dependencies.tables, claim, clock, abandonment.signal);
  const resultKey = `results/${getChunkRowKey(chunk)}-${chunk.epoch}`;
  let itemsToRun: readonly (Item | undefined)[] = [];
  let results: (ItemResult | undefined)[] = [];
  let queue: PositionedItem[] = [];
  let running = 0;
  let heldBytes = 0;
  let endOutcome: Promise<WriteOutcome> | undefined;
  let resolveIdle = (): void => undefined;

  /** Reads an object, with retries until the store responds or the run is abandoned. */
  const read = async (key: string): Promise<Buffer | undefined> => {
    for (let attempts = 0; !abandonment.signal.aborted; attempts += 1) {
      const object = await objects.get(key);
      if (object.ok) return object.value;
      await wait(clock, getRetryDelayMs(attempts), abandonment.signal);
    }
    return undefined;
  };

  const store = async (key: string, body: Buffer, maxAttempts: number): Promise<boolean> => {
    const put = await retryCall(
      () => objects.put(key, body),
      clock,
      maxAttempts,
      abandonment.signal,
    );
    return put.ok;
  };

  const storeResults = async (suffix: string, selected: readonly ItemResult[]) => {
    if (selected.length === 0) return undefined;
    const key = `${resultKey}${suffix}`;
    const body = Buffer.from(selected.map(({ line }) => `${line}\n`).join(''));
    return (await store(key, body, Infinity)) ? key : undefined;
  };

  const commit = async (): Promise<WriteOutcome> => {
    const all = results.filter((result) => result !== undefined);
    const failures = all.filter(({ failed }) => failed);
    const output = await storeResults(
      '',
      all.filter(({ failed }) => !failed),
    );
    const errors = await storeResults('.errors', failures);
    if (abandonment.signal.aborted) return 'closed';
    return rowWriter.commit({ output, errors, failed: failures.length });
  };

  const cancelItems = async (): Promise<void> => {
    queue = [];
    itemCancellation.abort();
    if (running === 0) return;
    await new Promise<void>((resolve) => {
      resolveIdle = resolve;
    });
  };

  const release = async (): Promise<WriteOutcome> => {
    await cancelItems();
    const partial = `${resultKey}.partial`;
    const isStored = await store(
      partial,
      formatPartialResults(chunk.from, results),
      MAX_RELEASE_ATTEMPTS,
    );
    // Releasing the chunk without its results could run items twice: the claim stays and lapses.
    if (!isStored) return 'closed';
    const remaining = itemsToRun.filter(
      (item, position) => item && results[position] === undefined,
    );
    const models = remaining.flatMap((item) => (item?.model === undefined ? [] : [item.model]));
    // Items marked as started have a result by now or were not sent.
    return rowWriter.release({ partial, models: [...new Set(models)], started: [] });
  };

  const isComplete = (): boolean => results.length === chunk.items && !results.includes(undefined);

  const endOnce = (action: () => Promise<WriteOutcome>): Promise<WriteOutcome> => {
    endOutcome ??= action();
    return endOutcome;
  };

  return {
    key: rowWriter.key,
    job,
    rowWriter,
    signal: itemCancellation.signal,
    load: async (rules) => {
      const input = await read(chunk.input);
      const partial = chunk.partial === undefined ? undefined : await read(chunk.partial);
      if (abandonment.signal.aborted) return false;
      const loaded = getChunkInput(chunk, input, partial, rules, claim.isExhausted);
      itemsToRun = loaded.items;
      results = loaded.results;
      const positioned = itemsToRun.flatMap((item, position) => (item ? [{ position, item }] : []));
      const canRunHere = ({ item }: PositionedItem): boolean =>
        item.model === undefined || canRun(item.model);
      queue = positioned.filter(canRunHere);
      return true;
    },
    next: () => {
      const positioned = queue.shift();
      if (positioned !== undefined) running += 1;
      return positioned;
    },
    pending: () => queue.length,
    running: () => running,
    endItem: (position, result) => {
      running -= 1;
      results[position] = result;
      heldBytes += result?.line.length ?? 0;
      if (running === 0) resolveIdle();
    },
    isFinished: () => queue.length === 0 && running === 0,
    heldBytes: () => heldBytes,
    finish: () => endOnce(() => (isComplete() ? commit() : release())),
    release: () => endOnce(release),
    abandon: () => {
      queue = [];
      itemCancellation.abort();
      abandonment.abort();
    },
  };
};
