/** Commits and retries against the table service when responses get lost. */
import { newFailure, newOk, type Clock, type Result } from '@anvilpaddle/common';
import type { Commit, PlatformError, Row, TableService, Transaction } from '@anvilpaddle/platform';

const FIRST_DELAY_MS = 100;
const MAX_DELAY_MS = 2000;

/** Row that shows whether a transaction has taken effect. */
export interface CommitProbe {
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
    const listenerAbort = new AbortController();
    const timer = clock.after(delayMs, () => {
      listenerAbort.abort();
      resolve();
    });
    const finish = (): void => {
      timer.cancel();
      resolve();
    };
    signal?.addEventListener('abort', finish, { once: true, signal: listenerAbort.signal });
  });

/**
 * Makes one attempt at a transaction that checks the revisions of the rows it writes. After a lost
 * response, and after a conflict that an earlier lost response may explain, the probe's row is read
 * back. An `unknown` error means that the transaction may still take effect; it may then be tried
 * again, because its checks let it take effect only once.
 */
export const commitAndVerify = async (
  tables: TableService,
  transaction: Transaction,
  probe: CommitProbe,
): Promise<Result<Commit, PlatformError>> => {
  const commit = await tables.transact(transaction);
  if (commit.ok && commit.value.committed) return commit;
  const hasNoEffect = !commit.ok && ['unavailable', 'limited'].includes(commit.error.kind);
  if (hasNoEffect) return commit;
  const row = await tables.get(probe.table, probe.key);
  if (!row.ok) return newFailure({ kind: 'unknown', detail: 'the outcome could not be read back' });
  if (probe.isMine(row.value)) {
    return newOk({ committed: true, revision: row.value?.revision ?? 0 });
  }
  return commit;
};

/** Delay in milliseconds before a retry; `attempts` is the index of the failed attempt, from 0. */
export const getRetryDelayMs = (attempts: number): number =>
  Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** attempts);

/** Repeats an idempotent call until it succeeds, has used up its attempts, or is aborted. */
export const retryCall = async <T>(
  call: () => Promise<Result<T, PlatformError>>,
  clock: Clock,
  maxAttempts: number,
  signal?: AbortSignal,
): Promise<Result<T, PlatformError>> => {
  const isAborted = (): boolean => signal?.aborted ?? false;
  for (let attempts = 0; ; attempts += 1) {
    const result = await call();
    if (result.ok || attempts + 1 >= maxAttempts || isAborted()) return result;
    const retryAfterMs = result.error.kind === 'limited' ? result.error.retryAfterMs : 0;
    await wait(clock, Math.max(retryAfterMs, getRetryDelayMs(attempts)), signal);
    if (isAborted()) return result;
  }
};
