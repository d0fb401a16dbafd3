/** Types of a gateway's configuration and settings, independent of the platform's formats. */
import type { Address } from '@anvilpaddle/common';
import type { LimitTolerance } from '@anvilpaddle/decisions';

/** How the requests of a route are answered, and whether they may be retried. */
export const ROUTE_KIND = {
  /** Idempotent: may run any number of times. */
  repeatable: 'repeatable',
  /** Not idempotent: may run at most once. */
  once: 'once',
  /** Answered with an event stream; may run at most once unless the stream is resumable. */
  stream: 'stream',
  /** Submits batch jobs. */
  batch: 'batch',
} as const;
export type RouteKind = (typeof ROUTE_KIND)[keyof typeof ROUTE_KIND];

/** Service that receives a share of a route's requests, in proportion to its weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Limits for the batch jobs of a route. */
export interface JobBounds {
  /** Time from a job's first submission until all its results are due. */
  readonly dueMs: number;
  /** Time from a job's first submission after which its unfinished items may be failed. */
  readonly expiryMs: number;
  /** Tokens of one team's items that may wait on the route; 0 means no limit. */
  readonly maxWaitingTokens: number;
}

/** Rules for the requests to one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a caller waits for its response. */
  readonly timeoutMs: number;
  /** Latency objective: time within which a response, or a stream's first event, is on time. */
  readonly latencyObjectiveMs: number;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Largest number of upstreams on which one request may run. */
  readonly maxAttempts: number;
  /** Whether callers need no API key. */
  readonly isPublic: boolean;
  /** Whether another upstream can continue a stream after the last event that was relayed. */
  readonly isResumable: boolean;
  readonly jobs: JobBounds;
}

/** Group of interchangeable upstreams. */
export interface Service {
  readonly name: string;
  /** Connections that one upstream accepts from all gateways. */
  readonly maxConnections: number;
  /** Path of an upstream's health check. */
  readonly healthPath: string;
  /** Time from its start for which an upstream is slow (cold), in milliseconds; 0 for never. */
  readonly coldStartMs: number;
  /** Requests per second that a cold upstream takes from all gateways together; 0 for any number. */
  readonly coldRequestsPerSecond: number;
}

/** Team with its API keys and its rate limit across all gateways; a rate of 0 means no limit. */
export interface Team {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Priority of its requests, 0 being the most urgent; undefined if that of the route applies. */
  readonly priority: number | undefined;
  /** Its part of scarce capacity relative to other teams of its priority. */
  readonly weight: number;
}

/** Size limits and timeouts for callers' requests. */
export interface CallerBounds {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined when callers need no API keys at all. */
  readonly teams: readonly Team[] | undefined;
  readonly bounds: CallerBounds;
}

/** One run of an upstream process. */
export interface Upstream {
  readonly id: string;
  /** Differs between two runs under one id. */
  readonly incarnation: string;
  readonly service: string;
  readonly address: Address;
  readonly failureDomain: string;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  /** Whether it finishes its requests and must get no new ones. */
  readonly isDraining: boolean;
  /** Time for which it is cold from when it wrote its record, in milliseconds; undefined if not said. */
  readonly coldLeftMs?: number | undefined;
}

/** Limits that the platform guarantees or requires. */
export interface GatewayBounds {
  /** Time after which a revoked API key must no longer be accepted. */
  readonly keyRevocationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopGracePeriodMs: number;
  /** Length of the sliding window of the teams' rate limits. */
  readonly limitWindowMs: number;
  /** How far the admissions in one window may exceed a team's limit. */
  readonly limitTolerance: LimitTolerance;
  /**
   * Time from a request to evacuate a failure domain after which nothing may be sent there; undefined if
   * the platform names none.
   */
  readonly evacuationMs: number | undefined;
  /** How far the requests to a cold upstream in any second may exceed what it takes. */
  readonly coldTolerance: LimitTolerance;
  /** Time for which a job's results stay readable after its submission. */
  readonly jobRetentionMs: number;
}

/** Settings of a gateway process. */
export interface GatewaySettings {
  readonly vm: string;
  readonly failureDomain: string;
  /** Address at which callers are served. */
  readonly callers: Address;
  /** Address of the readiness check that the balancer calls. */
  readonly readiness: Address;
  /** Address for the other gateways: UDP for gossip, TCP for the store relay. */
  readonly peers: Address;
  /** Address at which the metrics are served as text; they are not served when undefined. */
  readonly metrics: Address | undefined;
  readonly storeUrl: string;
  /** Bytes of requests and responses that the process holds at a moment, at most. */
  readonly maxHeldBytes: number;
  /** Extra requests that hedging may send, as a fraction of the requests that may be hedged; 0: none. */
  readonly maxHedgeShare: number;
  readonly bounds: GatewayBounds;
}
