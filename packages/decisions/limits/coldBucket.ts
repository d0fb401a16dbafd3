/** Bucket of what a cold upstream takes, with a part of each gateway that holds without any report. */
import { MS_PER_SECOND, type Random } from '@anvilpaddle/common';
import {
  newSharedBucket,
  type BucketVisibility,
  type RateBound,
  type SharedBucket,
} from './sharedBucket';
import { newWindowCounter } from './windowCounter';

/**
 * Maximum difference of the times that two requests need to arrive: the longest wait for a connection.
 * Requests that are sent this much more than a window apart never arrive within one.
 */
const MAX_ARRIVAL_SPREAD_MS = 250;

/** Time after which a gateway that doesn't know the others yet asks again; it reads them at its start. */
const UNKNOWN_MEMBERS_WAIT_MS = 100;

/** Bucket of a cold upstream. */
export interface ColdBucket extends SharedBucket {
  /** Requests of all gateways in the last window, as far as this one knows. */
  getSentInWindow(nowMs: number): number;
}

/**
 * Creates an empty bucket. Reports of other gateways are too old to keep a window of a second by the
 * shared bucket alone. So each gateway also sends no more than its equal part of what a window may hold,
 * in a window that is longer by the arrivals' spread. With more gateways than that, each sends one
 * request in a span that is longer by as much, from a random time on.
 */
export const newColdBucket = (
  requestsPerSecond: number,
  bound: RateBound,
  getVisibility: () => BucketVisibility,
  random: Random,
  startMs: number,
): ColdBucket => {
  const shared = newSharedBucket(requestsPerSecond, bound, getVisibility, random, startMs);
  const window = newWindowCounter(bound.windowMs);
  let rate = requestsPerSecond;

  /** Requests of all gateways that a window may hold. */
  const getAllowed = (): number =>
    Math.max(
      1,
      (rate * bound.windowMs * (1 + bound.tolerance.share)) / MS_PER_SECOND + bound.tolerance.count,
    );

  /** Number of requests that this gateway may send within a span of time. */
  const getOwnPart = () => {
    const members = Math.max(1, getVisibility().members);
    const allowed = getAllowed();
    return {
      count: Math.max(1, Math.floor(allowed / members)),
      spanMs: (bound.windowMs + MAX_ARRIVAL_SPREAD_MS) * Math.max(1, members / allowed),
    };
  };

  /**
   * Times of this gateway's last requests. At the start its part counts as used, evenly over the span
   * before: it may have sent requests before it knew, also as the process before, and gateways that
   * learn of the upstream together don't begin together.
   */
  let ownMs: number[] = [];
  const startPart = getOwnPart();
  const phase = random();
  for (let index = startPart.count - 1; index >= 0; index -= 1) {
    ownMs.push(startMs - ((index + phase) * startPart.spanMs) / startPart.count);
  }

  /** Time until this gateway's part allows a request. */
  const getOwnWaitMs = (nowMs: number): number => {
    if (getVisibility().isIncomplete === true) return UNKNOWN_MEMBERS_WAIT_MS;
    const { count, spanMs } = getOwnPart();
    ownMs = ownMs.slice(-Math.max(count, startPart.count));
    const oldestMs = ownMs.at(-count);
    return oldestMs === undefined ? 0 : Math.max(0, oldestMs + spanMs - nowMs);
  };

  return {
    setRate: (next, nowMs) => {
      rate = next;
      shared.setRate(next, nowMs);
    },
    take: (nowMs) => {
      ownMs.push(nowMs);
      window.add(1, nowMs);
      shared.take(nowMs);
    },
    takeForPeers: (count, nowMs) => {
      window.add(count, nowMs);
      shared.takeForPeers(count, nowMs);
    },
    giveBack: (nowMs) => {
      // Which of them was not sent is unknown; without the oldest, none may go earlier than it could.
      ownMs.splice(Math.max(0, ownMs.length - getOwnPart().count), 1);
      window.add(-1, nowMs);
      shared.giveBack(nowMs);
    },
    getWaitMs: (urgency, nowMs) => Math.max(getOwnWaitMs(nowMs), shared.getWaitMs(urgency, nowMs)),
    getSpareTokens: (nowMs) => (getOwnWaitMs(nowMs) > 0 ? 0 : shared.getSpareTokens(nowMs)),
    getSentInWindow: (nowMs) => Math.max(0, window.get(nowMs)),
  };
};
