/** Token bucket of a rate that several gateways share, as one of them knows it. */
import { MS_PER_SECOND, type Random } from '@anvilpaddle/common';
import type { GatewayVisibility, LimitTolerance } from './slidingWindowLimiter';

/** How urgent a request is that takes a token. */
export const URGENCY = {
  /** Item of a batch job: it gets what others leave. */
  batch: 'batch',
  online: 'online',
  /** Online request that may have run already, so that it can't be refused as not run. */
  underWay: 'underWay',
} as const;
/** One of the urgencies. */
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

/** Which gateways share a bucket, and how many of them this gateway sees. */
export type BucketVisibility = Pick<GatewayVisibility, 'members' | 'recentlySeen'> & {
  /** Whether the list of gateways has not been read yet, so that others may be at work. */
  readonly isIncomplete?: boolean;
};

/** Rule by which the requests to an upstream are judged: how far they may exceed the rate in any window. */
export interface RateBound {
  readonly windowMs: number;
  readonly tolerance: LimitTolerance;
}

/** Bucket of one rate. Times are monotonic milliseconds. */
export interface SharedBucket {
  /** Sets the rate, in requests per second. */
  setRate(requestsPerSecond: number, nowMs: number): void;
  /** Takes the token of a request that this gateway sends. */
  take(nowMs: number): void;
  /** Takes tokens for requests that other gateways have sent. */
  takeForPeers(count: number, nowMs: number): void;
  /** Returns the token of a request that was not sent after all. */
  giveBack(nowMs: number): void;
  /** Time until this gateway may send a request, in milliseconds. */
  getWaitMs(urgency: Urgency, nowMs: number): number;
  /** Number of batch items that may be sent now, by all gateways together. */
  getSpareTokens(nowMs: number): number;
}

/**
 * Lowest rate at which requests are sent: with none, nobody would learn that a limit has ended. The
 * unit is requests per second.
 */
const MIN_RATE = 0.25;
/**
 * Fraction of the tolerated requests that an unused bucket keeps beyond its first token. The others are
 * for what several gateways take at once on old reports.
 */
const KEPT_FRACTION = 0.5;
const MIN_KEPT_TOKENS = 1;
/** Tokens beyond those from which any gateway may take, so that items find some while none is lost. */
const SPARE_TOKENS = 0.5;
/**
 * Time after all gateways are seen again in which their reports of what they sent meanwhile arrive; it
 * is longer than a gateway waits between two reports.
 */
const CATCH_UP_MS = 1000;

/**
 * Creates an empty bucket. Requests of other gateways are known late. If all gateways took each token
 * as soon as it is there, several would take the same one. So each needs, besides the first, a random
 * part of the tokens that the bucket keeps, drawn anew after each request: few gateways at a time may
 * send while tokens are scarce, and all of them may while the bucket is full.
 *
 * A gateway that sees only some of the others shares their part of the rate with them. The part of the
 * unseen ones is withheld, and pays for the requests of which they report once they are seen again.
 */
export const newSharedBucket = (
  requestsPerSecond: number,
  { windowMs, tolerance }: RateBound,
  getVisibility: () => BucketVisibility,
  random: Random,
  startMs: number,
): SharedBucket => {
  let rate = Math.max(MIN_RATE, requestsPerSecond);
  let level = 0;
  /** Tokens that were left to gateways that this one did not see. */
  let withheld = 0;
  let withheldMs = -Infinity;
  let updatedMs = startMs;
  let draw = random();

  const getShare = (): number => {
    const { members, recentlySeen } = getVisibility();
    return Math.min(1, recentlySeen / Math.max(1, members));
  };
  /** Tokens of the whole rate in a span of time. */
  const getTokens = (spanMs: number): number => (rate * spanMs) / MS_PER_SECOND;
  const getKeptTokens = (): number =>
    Math.max(MIN_KEPT_TOKENS, getTokens(windowMs) * tolerance.share * KEPT_FRACTION) * getShare();
  /** Largest debt: what was sent a whole window ago no longer counts. */
  const getMaxDebt = (): number => getTokens(windowMs);
  /** Tokens over which the gateways that see each other spread their turns; none for a single one. */
  const getSpreadTokens = (): number =>
    getKeptTokens() * (1 - 1 / Math.max(1, getVisibility().recentlySeen));
  const getCapacity = (): number => 1 + getKeptTokens() + SPARE_TOKENS;
  const getTokensPerMs = (): number => (rate * getShare()) / MS_PER_SECOND;

  const withhold = (elapsedMs: number, nowMs: number): void => {
    const unseenShare = 1 - getShare();
    if (unseenShare > 0) withheldMs = nowMs;
    else if (nowMs - withheldMs > CATCH_UP_MS) withheld = 0;
    withheld = Math.min(getMaxDebt(), withheld + getTokens(elapsedMs) * unseenShare);
  };

  const advance = (nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - updatedMs);
    level = Math.min(getCapacity(), level + elapsedMs * getTokensPerMs());
    withhold(elapsedMs, nowMs);
    updatedMs = Math.max(updatedMs, nowMs);
  };

  const remove = (count: number): void => {
    level = Math.max(level - count, -getMaxDebt());
    draw = random();
  };

  const getThreshold = (urgency: Urgency): number =>
    ({
      [URGENCY.underWay]: 1,
      [URGENCY.online]: 1 + draw * getSpreadTokens(),
      [URGENCY.batch]: 1 + getKeptTokens(),
    })[urgency];

  return {
    setRate: (next, nowMs) => {
      advance(nowMs);
      rate = Math.max(MIN_RATE, next);
      level = Math.min(level, getCapacity());
    },
    take: (nowMs) => {
      advance(nowMs);
      remove(1);
    },
    takeForPeers: (count, nowMs) => {
      advance(nowMs);
      const paid = Math.min(count, withheld);
      withheld -= paid;
      remove(count - paid);
    },
    giveBack: (nowMs) => {
      advance(nowMs);
      level = Math.min(level + 1, getCapacity());
    },
    getWaitMs: (urgency, nowMs) => {
      advance(nowMs);
      return Math.max(0, getThreshold(urgency) - level) / getTokensPerMs();
    },
    getSpareTokens: (nowMs) => {
      advance(nowMs);
      return Math.max(0, Math.floor(level - getKeptTokens()));
    },
  };
};
