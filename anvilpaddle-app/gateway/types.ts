/** What a gateway knows of its deployment, in the product's own words. */
import type { Address } from '@anvilpaddle/common';
import type { LimitTolerance } from '@anvilpaddle/decisions';

/** Whether and how the requests of a route may be repeated. */
export const ROUTE_KIND = {
  /** May run any number of times. */
  repeatable: 'repeatable',
  /** May run once. */
  once: 'once',
  /** Answered as a series of events; may run once unless it is resumable. */
  stream: 'stream',
  /** Submits batch jobs. */
  batch: 'batch',
} as const;
export type RouteKind = (typeof ROUTE_KIND)[keyof typeof ROUTE_KIND];

/** Service of a route with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Bounds of the batch jobs of a route. */
export interface JobBounds {
  /** Time from a job's first submission until all its results are due. */
  readonly dueMs: number;
  /** Time from a job's first submission after which an item may be given up. */
  readonly expiryMs: number;
  /** Tokens of a team that may wait on the route; 0 means no limit. */
  readonly maxWaitingTokens: number;
}

/** Requests of one host under one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time in which an answer, or a stream's first event, is on time. */
  readonly latencyObjectiveMs: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Upstreams on which one request may run. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether another upstream can go on with a stream after the last event passed. */
  readonly isResumable: boolean;
  readonly jobs: JobBounds;
}

/** Group of upstreams that do the same work. */
export interface Service {
  readonly name: string;
  /** Connections that one upstream accepts from all gateways. */
  readonly maxConnections: number;
  /** Path whose answer tells whether an upstream is healthy. */
  readonly healthPath: string;
}

/** Team with its keys and its limit over all gateways; a rate of 0 means no limit. */
export interface Team {
  readonly name: string;
  readonly keys: readonly string[];
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Bounds of what callers may send. */
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
  /** Undefined when callers need no keys at all. */
  readonly teams: readonly Team[] | undefined;
  readonly bounds: CallerBounds;
}

/** One start of an upstream process. */
export interface Upstream {
  readonly id: string;
  /** Differs between two starts under one id. */
  readonly incarnation: string;
  readonly service: string;
  readonly address: Address;
  readonly failureDomain: string;
  /** Requests that it works on together. */
  readonly slots: number;
  readonly isDraining: boolean;
}

/** Bounds that the platform promises or asks for. */
export interface GatewayBounds {
  /** Time after which a withdrawn key must no longer work. */
  readonly keyRevocationMs: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopGracePeriodMs: number;
  /** Sliding window of the teams' limits. */
  readonly limitWindowMs: number;
  /** What a window may hold beyond a team's limit. */
  readonly limitTolerance: LimitTolerance;
  /** Time for which a job's results stay readable after its submission. */
  readonly jobRetentionMs: number;
}

/** Settings of a gateway process. */
export interface GatewaySettings {
  readonly vm: string;
  readonly failureDomain: string;
  /** Address for callers. */
  readonly callers: Address;
  /** Address at which the balancer asks whether this VM is ready. */
  readonly readiness: Address;
  /** Address for datagrams between gateways. */
  readonly peers: Address;
  /** Address at which the metrics are served as text; undefined serves none. */
  readonly metrics: Address | undefined;
  readonly storeUrl: string;
  readonly bounds: GatewayBounds;
}
