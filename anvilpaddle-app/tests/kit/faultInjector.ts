/** Platform and clock of a test worker, which inject faults into its calls. */
import { newFailure, newOk, type Clock, type Random, type Result } from '@anvilpaddle/common';
import type { ObjectStore, PlatformError, TableService } from '@anvilpaddle/platform';
import type { Tables } from '@anvilpaddle/standins';

/** Probability from 0 to 1 of each kind of fault per call of the platform. */
export interface FaultRates {
  /** The call fails as unavailable and has no effect. */
  readonly refused: number;
  /** The outcome is unknown; the call had no effect. */
  readonly requestLost: number;
  /** The outcome is unknown; the call took effect. */
  readonly responseLost: number;
  /** The call is delayed. */
  readonly slow: number;
}

/** Rates at which no call fails. */
export const NO_FAULTS: FaultRates = { refused: 0, requestLost: 0, responseLost: 0, slow: 0 };

const SLOW_CALL_DELAY_MS = 30;

/** Stores in memory that all workers of a test share in place of the platform. */
export interface SharedPlatform {
  readonly tables: Tables;
  readonly objects: Map<string, Buffer>;
  /** Whether a service is unavailable to all workers. */
  isDown: { tables: boolean; objects: boolean };
}

/** Platform and clock of one worker; they stop when the worker is killed or paused. */
export interface FaultInjector {
  readonly tables: TableService;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  isDead(): boolean;
  /** Stops all calls and timers for good. */
  kill(): void;
  /** Holds back calls, their results and timers until `resume`. */
  pause(): void;
  resume(): void;
  /** Resolves at once, or after a pause; never once the worker is killed. */
  untilRunning(): Promise<void>;
}

/** Creates the fault injector of one worker; `random` decides which calls fail. */
export const newFaultInjector = (
  shared: SharedPlatform,
  clock: Clock,
  random: Random,
  getRates: () => FaultRates,
): FaultInjector => {
  let isDead = false;
  let isPaused = false;
  let pausedActions: (() => void)[] = [];

  const untilRunning = (): Promise<void> =>
    new Promise((resolve) => {
      if (isDead) return;
      if (isPaused) pausedActions.push(resolve);
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
    const deliver = async (result: Result<T, PlatformError>): Promise<Result<T, PlatformError>> => {
      await sleep(0);
      await untilRunning();
      return result;
    };
    const rates = getRates();
    await untilRunning();
    if (random() < rates.slow) await sleep(SLOW_CALL_DELAY_MS);
    await untilRunning();
    if (shared.isDown[service] || random() < rates.refused) {
      return deliver(newFailure({ kind: 'unavailable', detail: 'fault' }));
    }
    const roll = random();
    if (roll < rates.requestLost) return deliver(newFailure({ kind: 'unknown', detail: 'fault' }));
    const value = structuredClone(action());
    if (roll < rates.requestLost + rates.responseLost) {
      return deliver(newFailure({ kind: 'unknown', detail: 'fault' }));
    }
    return deliver(newOk(value));
  };

  const whenRunning = (action: () => void) => (): void => {
    void untilRunning().then(action);
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
      after: (delayMs, action) => clock.after(delayMs, whenRunning(action)),
      every: (intervalMs, action) => clock.every(intervalMs, whenRunning(action)),
    },
    isDead: () => isDead,
    kill: () => {
      isDead = true;
      pausedActions = [];
    },
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      const resumedActions = pausedActions;
      pausedActions = [];
      resumedActions.forEach((resolve) => resolve());
    },
    untilRunning,
  };
};
