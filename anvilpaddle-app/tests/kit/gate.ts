import { newFailure, newOk, type Clock, type Random, type Result } from '@anvilpaddle/common';
import type { ObjectStore, PlatformError, TableService } from '@anvilpaddle/platform';
import type { InMemoryTables } from '@anvilpaddle/standins';

/** Shares of the platform's calls that fail, by kind. */
export interface FaultRates {
  readonly refused: number;
  readonly lostBefore: number;
  readonly lostAfter: number;
  readonly slow: number;
}

export const NO_FAULTS: FaultRates = { refused: 0, lostBefore: 0, lostAfter: 0, slow: 0 };

const SLOW_MS = 30;

/** Memory shared by all workers of a test, in place of the platform. */
export interface SharedPlatform {
  readonly tables: InMemoryTables;
  readonly objects: Map<string, Buffer>;
  /** The services are down for all. */
  isDown: { tables: boolean; objects: boolean };
}

/** Everything through which one worker touches the world; it can be killed or paused there. */
export interface Gate {
  readonly tables: TableService;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  isDead(): boolean;
  /** Nothing gets in or out any more. */
  kill(): void;
  pause(): void;
  resume(): void;
  /** Resolves when the worker runs; never once it is killed. */
  pass(): Promise<void>;
}

/** Gate of one worker with seeded faults. */
export const newGate = (
  shared: SharedPlatform,
  clock: Clock,
  random: Random,
  getRates: () => FaultRates,
): Gate => {
  let isDead = false;
  let isPaused = false;
  let waiting: (() => void)[] = [];

  const pass = (): Promise<void> =>
    new Promise((resolve) => {
      if (isDead) return;
      if (isPaused) waiting.push(resolve);
      else resolve();
    });
  const sleep = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });

  const call = async <T>(
    service: 'tables' | 'objects',
    action: () => T,
  ): Promise<Result<T, PlatformError>> => {
    const answer = async (result: Result<T, PlatformError>): Promise<Result<T, PlatformError>> => {
      await sleep(0);
      await pass();
      return result;
    };
    const rates = getRates();
    await pass();
    if (random() < rates.slow) await sleep(SLOW_MS);
    await pass();
    if (shared.isDown[service] || random() < rates.refused) {
      return answer(newFailure({ kind: 'unavailable', detail: 'fault' }));
    }
    const roll = random();
    if (roll < rates.lostBefore) return answer(newFailure({ kind: 'unknown', detail: 'fault' }));
    const value = structuredClone(action());
    if (roll < rates.lostBefore + rates.lostAfter) {
      return answer(newFailure({ kind: 'unknown', detail: 'fault' }));
    }
    return answer(newOk(value));
  };

  const guard = (action: () => void) => (): void => {
    void pass().then(action);
  };

  return {
    tables: {
      get: (table, key) => call('tables', () => shared.tables.get(table, key)),
      scan: (table, range) => call('tables', () => shared.tables.scan(table, range)),
      transact: (transaction) =>
        call('tables', () => shared.tables.transact(structuredClone(transaction))),
    },
    objects: {
      put: (key, body) =>
        call('objects', () => {
          shared.objects.set(key, Buffer.from(body));
        }),
      get: async (key) => {
        const found = await call('objects', () => shared.objects.get(key)?.toString());
        return found.ok
          ? newOk(found.value === undefined ? undefined : Buffer.from(found.value))
          : found;
      },
      remove: (key) =>
        call('objects', () => {
          shared.objects.delete(key);
        }),
    },
    clock: {
      monotonic: () => clock.monotonic(),
      wall: () => clock.wall(),
      after: (delayMs, action) => clock.after(delayMs, guard(action)),
      every: (intervalMs, action) => clock.every(intervalMs, guard(action)),
    },
    isDead: () => isDead,
    kill: () => {
      isDead = true;
      waiting = [];
    },
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      const resumed = waiting;
      waiting = [];
      resumed.forEach((resolve) => resolve());
    },
    pass,
  };
};
