/** Types of online requests, their attempts and their outcomes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ByteBudget, Clock, Logger, Random } from '@anvilpaddle/common';
import type {
  Health,
  Hedging,
  InputAssessment,
  LoadTracker,
  RequestDigest,
  RetryAfterSchedule,
  ServiceTimes,
  TeamShare,
  TeamShares,
  TeamSlots,
} from '@anvilpaddle/decisions';
import type { RequestHead, CallerProtocol } from '../callerProtocol';
import type { CrashDetector } from '../crashDetector';
import type { FleetView } from '../fleetView';
import type { ResponseEnd } from '../responseEnd';
import type { Route } from '../types';
import type { UpstreamClient } from '../upstreamClient';
import type { StoredQuarantine } from '../storedQuarantine';

/** How a hedge ended. */
export const HEDGE_END = {
  /** It answered before the first attempt, or the first attempt was lost. */
  won: 'won',
  /** The first attempt answered before it. */
  lost: 'lost',
  /** It did not answer within the time for which two upstreams may run one request. */
  timedOut: 'timedOut',
  /** Its upstream rejected the request or broke it off. */
  failed: 'failed',
} as const;
/** One of the ends. */
export type HedgeEnd = (typeof HEDGE_END)[keyof typeof HEDGE_END];

/** Counters of the attempts of online requests. */
export interface AttemptMetrics {
  /** Counts how the body of an upstream's response ended. */
  countResponseEnd(end: ResponseEnd): void;
  /** Counts an upstream's silence during an online attempt. */
  countSilence(): void;
  countHedge(end: HedgeEnd): void;
  /** Counts a request that was refused because its team was over its share. */
  countShareRefusal(team: string): void;
}

/** Dependencies of all online requests. */
export interface OnlineDependencies {
  readonly protocol: CallerProtocol;
  readonly view: FleetView;
  readonly upstreamClient: UpstreamClient;
  readonly upstreamLoads: LoadTracker;
  readonly teamSlots: Pick<TeamSlots, 'begin' | 'end'>;
  readonly teamShares: Pick<TeamShares, 'getShare' | 'getRetryAfterMs'>;
  readonly health: Health;
  readonly serviceTimes: ServiceTimes;
  readonly hedging: Hedging;
  readonly crashDetector: CrashDetector;
  readonly quarantine: StoredQuarantine;
  readonly byteBudget: ByteBudget;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: AttemptMetrics;
  readonly retrySchedule: RetryAfterSchedule;
  /** Number of gateways that may be running, including this one. */
  readonly getGatewayCount: () => number;
}

/** Caller's request with its body. */
export interface OnlineRequest {
  readonly head: RequestHead;
  readonly route: Route;
  readonly team: string | undefined;
  /** Priority of the team, or else of the route; 0 is the most urgent. */
  readonly priority: number;
  readonly message: IncomingMessage;
  readonly body: Buffer;
  readonly digest: RequestDigest;
  readonly response: ServerResponse;
  /** Monotonic time at which the head was received. */
  readonly startedMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Upstream that was chosen last, with the load on which the choice was based. */
export interface PlacementChoice {
  readonly upstream: string;
  /** Online requests and batch items at the upstream. */
  readonly online: number;
  readonly batch: number;
  /** Expected wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** What was known of the request's input, if any part of it was suspect. */
  readonly assessment?: InputAssessment;
}

/**
 * How a request ended, for the log and the metrics. Its team's share is that at the last placement, if
 * capacity was short then.
 */
export interface OnlineOutcome
  extends Partial<PlacementChoice>, Partial<ResponseEnd>, Partial<TeamShare> {
  readonly result: 'served' | 'refused' | 'failed' | 'left';
  readonly reason: string;
  readonly attempts: number;
  readonly firstByteMs: number | undefined;
  /** Time from the request's head to its end, in milliseconds. */
  readonly durationMs: number;
}
