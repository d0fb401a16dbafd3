import { ATTEMPT_STATE, type AttemptState, type RevocationResult } from '@anvilpaddle/protocol';

/** What identifies an attempt at a sidecar. */
export interface AttemptIdentity {
  readonly attempt: string;
  /** Incarnation of the entry that sends it. */
  readonly sender: string;
  /** Grows with each attempt of the sender. */
  readonly sequence: number;
}

/** Verdict on an attempt that has arrived; `expired` and `full` are refusals without a note. */
export type RegistrationResult = 'accepted' | 'duplicate' | 'revoked' | 'expired' | 'full';

/** Bounds of a ledger. */
export interface LedgerBounds {
  /** Time for which a finished or revoked attempt is remembered, in milliseconds. */
  readonly retentionMs: number;
  /** Notes on finished and revoked attempts, and attempts that wait or run, each. */
  readonly maxRecords: number;
  /** Senders with a low-water mark of their own. */
  readonly maxSenders: number;
}

/**
 * State of each attempt at one incarnation of a sidecar. A note is forgotten only together with
 * every sequence number up to its own, so that a late copy is refused for ever.
 */
export interface AttemptLedger {
  register(name: AttemptIdentity, nowMs: number): RegistrationResult;
  /** Moves a waiting attempt to sent; false when it must not be sent any more. */
  markSent(attempt: string, nowMs: number): boolean;
  /** Gives up a waiting attempt; false when it does not wait. */
  cancelQueued(attempt: string, nowMs: number): boolean;
  /** Ends a sent attempt; `reached` is false when the upstream has surely seen nothing of it. */
  finish(attempt: string, reached: boolean, nowMs: number): void;
  /** Gives up an attempt unless it was sent; leaves a tombstone for one that is not here yet. */
  revoke(
    name: AttemptIdentity,
    nowMs: number,
  ): Exclude<RevocationResult['state'], 'other_incarnation'>;
  state(attempt: string): AttemptState | undefined;
  /** Attempts that wait or run. */
  open(): number;
  /** Notes and low-water marks held. */
  recordCount(): number;
}

type OpenState = typeof ATTEMPT_STATE.queued | typeof ATTEMPT_STATE.sent;
type ClosedState = typeof ATTEMPT_STATE.done | typeof ATTEMPT_STATE.revoked;

/** New ledger without notes. */
export const newAttemptLedger = (bounds: LedgerBounds): AttemptLedger => {
  const open = new Map<string, { readonly name: AttemptIdentity; readonly state: OpenState }>();
  // Both keep insertion order, so that the oldest come first.
  const closed = new Map<string, { name: AttemptIdentity; state: ClosedState; atMs: number }>();
  const floors = new Map<string, number>();
  let strangersFloor = 0;

  const getFloor = (sender: string): number => floors.get(sender) ?? strangersFloor;

  const raiseFloor = ({ sender, sequence }: AttemptIdentity): void => {
    const floor = Math.max(getFloor(sender), sequence);
    floors.delete(sender);
    floors.set(sender, floor);
    const oldest = floors.keys().next().value;
    if (floors.size <= bounds.maxSenders || oldest === undefined) return;
    strangersFloor = Math.max(strangersFloor, getFloor(oldest));
    floors.delete(oldest);
  };

  const prune = (nowMs: number): void => {
    for (const [attempt, { name, atMs }] of closed) {
      const isOld = nowMs - atMs > bounds.retentionMs;
      if (!isOld && closed.size <= bounds.maxRecords) return;
      closed.delete(attempt);
      raiseFloor(name);
    }
  };

  const close = (name: AttemptIdentity, state: ClosedState, nowMs: number): void => {
    open.delete(name.attempt);
    closed.set(name.attempt, { name, state, atMs: nowMs });
    prune(nowMs);
  };

  const getState = (attempt: string): AttemptState | undefined =>
    open.get(attempt)?.state ?? closed.get(attempt)?.state;

  const closeIf = (
    attempt: string,
    expected: OpenState,
    state: ClosedState,
    nowMs: number,
  ): boolean => {
    const note = open.get(attempt);
    if (note?.state !== expected) return false;
    close(note.name, state, nowMs);
    return true;
  };

  return {
    register: (name, nowMs) => {
      prune(nowMs);
      const known = getState(name.attempt);
      if (known === ATTEMPT_STATE.revoked) return 'revoked';
      if (known !== undefined) return 'duplicate';
      if (name.sequence <= getFloor(name.sender)) return 'expired';
      if (open.size >= bounds.maxRecords) return 'full';
      open.set(name.attempt, { name, state: ATTEMPT_STATE.queued });
      return 'accepted';
    },
    markSent: (attempt) => {
      const note = open.get(attempt);
      if (note?.state !== ATTEMPT_STATE.queued) return false;
      open.set(attempt, { name: note.name, state: ATTEMPT_STATE.sent });
      return true;
    },
    cancelQueued: (attempt, nowMs) =>
      closeIf(attempt, ATTEMPT_STATE.queued, ATTEMPT_STATE.revoked, nowMs),
    finish: (attempt, reached, nowMs) => {
      const state = reached ? ATTEMPT_STATE.done : ATTEMPT_STATE.revoked;
      closeIf(attempt, ATTEMPT_STATE.sent, state, nowMs);
    },
    revoke: (name, nowMs) => {
      prune(nowMs);
      const known = getState(name.attempt);
      if (known === ATTEMPT_STATE.sent || known === ATTEMPT_STATE.done) return known;
      if (known === undefined && name.sequence <= getFloor(name.sender)) return 'expired';
      if (known !== ATTEMPT_STATE.revoked) close(name, ATTEMPT_STATE.revoked, nowMs);
      return 'not_sent';
    },
    state: getState,
    open: () => open.size,
    recordCount: () => open.size + closed.size + floors.size,
  };
};
