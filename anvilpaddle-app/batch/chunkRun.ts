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

/** An item that is to run, with its place in the chunk. */
export interface PositionedItem {
  readonly position: number;
  readonly item: Item;
}

/** One claimed chunk in work. */
export interface ChunkRun {
  readonly key: string;
  readonly job: Job;
  readonly rowWriter: ChunkRowWriter;
  /** Aborted when the items that run are to be cancelled. */
  readonly signal: AbortSignal;
  /** Reads the input; false when the chunk was given up before. */
  load(rules: ItemRules): Promise<boolean>;
  /** Next item that has not been handed out and whose model can be run here. */
  next(): PositionedItem | undefined;
  /** Items not yet handed out. */
  pending(): number;
  /** Items handed out that have not come back. */
  running(): number;
  /** Takes an item back, with its result if there is one. */
  endItem(place: number, result: ItemResult | undefined): void;
  /** Whether all that can be done here is done. */
  isFinished(): boolean;
  /** Bytes of results that wait for the commit. */
  heldBytes(): number;
  /** Commits the results, or gives back a chunk with items that have none. */
  finish(): Promise<WriteOutcome>;
  /** Cancels what runs and gives the chunk back with the results there are. */
  release(): Promise<WriteOutcome>;
  /** Cancels what runs; nothing is written any more. */
  abandon(): void;
}

const RELEASE_TRIES = 3;

/** Run of a claim; `canRun` tells whether this sidecar serves the model. */
export const newChunkRun = (
  services: {
    readonly tables: TableService;
    readonly objects: ObjectStore;
    readonly clock: Clock;
  },
  claim: Claim,
  canRun: (model: string) => boolean,
): ChunkRun => {
  const { objects, clock } = services;
  const { chunk, job } = claim;
  const items = new AbortController();
  const abort = new AbortController();
  setMaxListeners(0, items.signal, abort.signal);
  const ledger = newChunkRowWriter(services.tables, claim, clock, abort.signal);
  const stem = `results/${getChunkRowKey(chunk)}-${chunk.epoch}`;
  let unfinished: readonly (Item | undefined)[] = [];
  let results: (ItemResult | undefined)[] = [];
  let queue: PositionedItem[] = [];
  let running = 0;
  let heldBytes = 0;
  let ended: Promise<WriteOutcome> | undefined;
  let onIdle = (): void => undefined;

  /** Reads an object until the store answers. */
  const read = async (key: string): Promise<Buffer | undefined> => {
    for (let tries = 0; !abort.signal.aborted; tries += 1) {
      const object = await objects.get(key);
      if (object.ok) return object.value;
      await wait(clock, getRetryDelayMs(tries), abort.signal);
    }
    return undefined;
  };

  const store = async (key: string, body: Buffer, maxTries: number): Promise<boolean> => {
    const put = await retryCall(() => objects.put(key, body), clock, maxTries, abort.signal);
    return put.ok;
  };

  const storeResults = async (suffix: string, some: readonly ItemResult[]) => {
    if (some.length === 0) return undefined;
    const key = `${stem}${suffix}`;
    const body = Buffer.from(some.map(({ line }) => `${line}\n`).join(''));
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
    if (abort.signal.aborted) return 'closed';
    return ledger.commit({ output, errors, failed: failures.length });
  };

  const cancelItems = async (): Promise<void> => {
    queue = [];
    items.abort();
    if (running === 0) return;
    await new Promise<void>((resolve) => {
      onIdle = resolve;
    });
  };

  const release = async (): Promise<WriteOutcome> => {
    await cancelItems();
    const partial = `${stem}.partial`;
    const isStored = await store(partial, formatPartialResults(chunk.from, results), RELEASE_TRIES);
    // Without the results the chunk may not be given back: items could run twice.
    if (!isStored) return 'closed';
    const left = unfinished.filter((item, place) => item && results[place] === undefined);
    const models = left.flatMap((item) => (item?.model === undefined ? [] : [item.model]));
    // What was marked has a result by now or was not sent.
    return ledger.release({ partial, models: [...new Set(models)], started: [] });
  };

  const isComplete = (): boolean => results.length === chunk.items && !results.includes(undefined);

  const endOnce = (how: () => Promise<WriteOutcome>): Promise<WriteOutcome> => {
    ended ??= how();
    return ended;
  };

  return {
    key: ledger.key,
    job,
    rowWriter: ledger,
    signal: items.signal,
    load: async (rules) => {
      const input = await read(chunk.input);
      const partial = chunk.partial === undefined ? undefined : await read(chunk.partial);
      if (abort.signal.aborted) return false;
      const loaded = getChunkInput(chunk, input, partial, rules, claim.isExhausted);
      unfinished = loaded.items;
      results = loaded.results;
      const placed = unfinished.flatMap((item, position) => (item ? [{ position, item }] : []));
      const isHere = ({ item }: PositionedItem): boolean =>
        item.model === undefined || canRun(item.model);
      queue = placed.filter(isHere);
      return true;
    },
    next: () => {
      const placed = queue.shift();
      if (placed !== undefined) running += 1;
      return placed;
    },
    pending: () => queue.length,
    running: () => running,
    endItem: (place, result) => {
      running -= 1;
      results[place] = result;
      heldBytes += result?.line.length ?? 0;
      if (running === 0) onIdle();
    },
    isFinished: () => queue.length === 0 && running === 0,
    heldBytes: () => heldBytes,
    finish: () => endOnce(() => (isComplete() ? commit() : release())),
    release: () => endOnce(release),
    abandon: () => {
      queue = [];
      items.abort();
      abort.abort();
    },
  };
};
