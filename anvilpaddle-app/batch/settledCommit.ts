import { newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import type {
  TransactionOutcome,
  PlatformError,
  Row,
  TableService,
  Transaction,
} from '@anvilpaddle/platform';

const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 2000;

/** Row that tells whether a transaction has taken effect. */
export interface Probe {
  readonly table: string;
  readonly key: string;
  /** Whether the row shows this very transaction. */
  isMine(row: Row | undefined): boolean;
}

/** Resolves after the delay in milliseconds, or at once when the signal is aborted. */
export const wait = (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const listening = new AbortController();
    const timer = clock.after(delayMs, () => {
      listening.abort();
      resolve();
    });
    const finish = (): void => {
      timer.cancel();
      resolve();
    };
    signal?.addEventListener('abort', finish, { once: true, signal: listening.signal });
  });

/**
 * One try of a transaction that checks the revision of what it writes. After a lost answer, and
 * after a conflict that an earlier lost answer may explain, the probe's row is read back. An
 * `unknown` error means that it may still take effect; the same transaction may then be tried
 * again, because its checks let it take effect only once.
 */
export const settleCommit = async (
  tables: TableService,
  transaction: Transaction,
  probe: Probe,
): Promise<Result<TransactionOutcome, PlatformError>> => {
  const commit = await tables.transact(transaction);
  if (commit.ok && commit.value.committed) return commit;
  const isClear = !commit.ok && ['unavailable', 'limited'].includes(commit.error.kind);
  if (isClear) return commit;
  const row = await tables.get(probe.table, probe.key);
  if (!row.ok) return newFailure({ kind: 'unknown', detail: 'the outcome could not be read back' });
  if (probe.isMine(row.value)) {
    return newOk({ committed: true, revision: row.value?.revision ?? 0 });
  }
  return commit;
};

/** Delay in milliseconds before a try, counted from 0. */
export const getRetryDelayMs = (tries: number): number =>
  Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** tries);

/** Repeats a call that may be repeated until it succeeds, is out of tries, or is aborted. */
export const retryCall = async <T>(
  call: () => Promise<Result<T, PlatformError>>,
  clock: Clock,
  maxTries: number,
  signal?: AbortSignal,
): Promise<Result<T, PlatformError>> => {
  const isAborted = (): boolean => signal?.aborted ?? false;
  for (let tries = 0; ; tries += 1) {
    const result = await call();
    if (result.ok || tries + 1 >= maxTries || isAborted()) return result;
    const limitedMs = result.error.kind === 'limited' ? result.error.retryAfterMs : 0;
    await wait(clock, Math.max(limitedMs, getRetryDelayMs(tries)), signal);
    if (isAborted()) return result;
  }
};
