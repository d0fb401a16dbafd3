/** States of the attempts at one sidecar, so that none is sent to the upstream twice. */
import { ATTEMPT_STATE, type AttemptState, type RevocationResult } from '@anvilpaddle/protocol';

/** What identifies an attempt at a sidecar. */
export interface AttemptIdentity {
  /** ID of the attempt. */
  readonly attempt: string;
  /** Incarnation of the entry process that sends the attempt. */
  readonly sender: string;
  /** Number that grows with each attempt of the sender. */
  readonly sequence: number;
}

/**
 * Result of registering an attempt; `expired` and `full` are refusals that leave no record in the
 * ledger.
 */
export type RegistrationResult = 'accepted' | 'duplicate' | 'revoked' | 'expired' | 'full';

/** Bounds on the memory of a ledger. */
export interface LedgerBounds {
  /** Time for which the record of a finished or revoked attempt is kept, in milliseconds. */
  readonly retentionMs: number;
  /** Maximum number of finished and revoked attempts, and likewise of queued and sent ones. */
  readonly maxRecords: number;
  /** Maximum number of senders with a sequence watermark of their own. */
  readonly maxSenders: number;
}

/**
 * State of each attempt at one incarnation of a sidecar. When the ledger drops a record, it raises
 * the sender's watermark to the record's sequence number. Attempts without a record are refused up to
 * the watermark, so that a late duplicate never runs.
 */
export interface AttemptLedger {
  /** Registers an attempt that has arrived. */
  register(id: AttemptIdentity, nowMs: number): RegistrationResult;
  /** Marks a queued attempt as sent; returns false when it must not be sent any more. */
  markSent(attempt: string, nowMs: number): boolean;
  /** Cancels a queued attempt; returns false when the attempt is not queued. */
  cancelQueued(attempt: string, nowMs: number): boolean;
  /** Ends a sent attempt; `reached` is false when the upstream has certainly received none of it. */
  finish(attempt: string, reached: boolean, nowMs: number): void;
  /**
   * Cancels an attempt unless it was sent; for an attempt that has not arrived yet, it leaves a
   * tombstone that refuses it.
   */
  revoke(
    id: AttemptIdentity,
    nowMs: number,
  ): Exclude<RevocationResult['state'], 'other_incarnation'>;
  state(attempt: string): AttemptState | undefined;
  /** Number of queued and sent attempts. */
  open(): number;
  /** Number of records and watermarks in memory. */
  recordCount(): number;
}

type OpenState = typeof ATTEMPT_STATE.queued | typeof ATTEMPT_STATE.sent;
type ClosedState = typeof ATTEMPT_STATE.done | typeof ATTEMPT_STATE.revoked;

/** Ledger without records. */
export const newAttemptLedger = (bounds: LedgerBounds): AttemptLedger => {
  const open = new Map<string, { readonly name: AttemptIdentity; readonly state: OpenState }>();
  // Both maps below keep insertion order, so that the oldest entries come first.
  const closed = new Map<string, { name: AttemptIdentity; state: ClosedState; atMs: number }>();
  const watermarks = new Map<string, number>();
  /** Watermark of every sender that has none of its own. */
  let unknownSenderWatermark = 0;

  /** Highest sequence number of a sender up to which attempts are refused. */
  const getWatermark = (sender: string): number => watermarks.get(sender) ?? unknownSenderWatermark;

  const raiseWatermark = ({ sender, sequence }: AttemptIdentity): void => {
    const watermark = Math.max(getWatermark(sender), sequence);
    watermarks.delete(sender);
    watermarks.set(sender, watermark);
    const oldest = watermarks.keys().next().value;
    if (watermarks.size <= bounds.maxSenders || oldest === undefined) return;
    unknownSenderWatermark = Math.max(unknownSenderWatermark, getWatermark(oldest));
    watermarks.delete(oldest);
  };

  const prune = (nowMs: number): void => {
    for (const [attempt, { name: id, atMs }] of closed) {
      const isOld = nowMs - atMs > bounds.retentionMs;
      if (!isOld && closed.size <= bounds.maxRecords) return;
      closed.delete(attempt);
      raiseWatermark(id);
    }
  };

  const close = (id: AttemptIdentity, state: ClosedState, nowMs: number): void => {
    open.delete(id.attempt);
    closed.set(id.attempt, { name: id, state, atMs: nowMs });
    prune(nowMs);
  };

  const getState = (attempt: string): AttemptState | undefined =>
    open.get(attempt)?.state ?? closed.get(attempt)?.state;

  const closeIfState = (
    attempt: string,
    expected: OpenState,
    state: ClosedState,
    nowMs: number,
  ): boolean => {
    const record = open.get(attempt);
    if (record?.state !== expected) return false;
    close(record.name, state, nowMs);
    return true;
  };

  return {
    register: (id, nowMs) => {
      prune(nowMs);
      const known = getState(id.attempt);
      if (known === ATTEMPT_STATE.revoked) return 'revoked';
      if (known !== undefined) return 'duplicate';
      if (id.sequence <= getWatermark(id.sender)) return 'expired';
      if (open.size >= bounds.maxRecords) return 'full';
      open.set(id.attempt, { name: id, state: ATTEMPT_STATE.queued });
      return 'accepted';
    },
    markSent: (attempt) => {
      const record = open.get(attempt);
      if (record?.state !== ATTEMPT_STATE.queued) return false;
      open.set(attempt, { name: record.name, state: ATTEMPT_STATE.sent });
      return true;
    },
    cancelQueued: (attempt, nowMs) =>
      closeIfState(attempt, ATTEMPT_STATE.queued, ATTEMPT_STATE.revoked, nowMs),
    finish: (attempt, reached, nowMs) => {
      const state = reached ? ATTEMPT_STATE.done : ATTEMPT_STATE.revoked;
      closeIfState(attempt, ATTEMPT_STATE.sent, state, nowMs);
    },
    revoke: (id, nowMs) => {
      prune(nowMs);
      const known = getState(id.attempt);
      if (known === ATTEMPT_STATE.sent || known === ATTEMPT_STATE.done) return known;
      if (known === undefined && id.sequence <= getWatermark(id.sender)) return 'expired';
      if (known !== ATTEMPT_STATE.revoked) close(id, ATTEMPT_STATE.revoked, nowMs);
      return 'not_sent';
    },
    state: getState,
    open: () => open.size,
    recordCount: () => open.size + closed.size + watermarks.size,
  };
};
