/** Interface of the routers, and the filter that they share. */
import type { Member } from '@anvilpaddle/protocol';

/** What a request requires of an upstream, and what it prefers. */
export interface RoutingCriteria {
  readonly group: string;
  readonly model?: string | undefined;
  /** Failure domain of the entry process; its upstreams are preferred. */
  readonly failureDomain: string;
  /** Hash of the prompt's prefix; requests with the same hash can share a cached prefix. */
  readonly prefix?: string | undefined;
  /** VMs of the sidecars that the request has been sent to already. */
  readonly triedVms: ReadonlySet<string>;
}

/** How an attempt ended, as far as it matters for routing. */
export const ATTEMPT_RESULT = {
  ok: 'ok',
  /** The upstream failed; this counts against its health. */
  failed: 'failed',
  /** The sidecar refused the attempt as overloaded; this does not affect the upstream's health. */
  refused: 'refused',
} as const;
export type AttemptResult = (typeof ATTEMPT_RESULT)[keyof typeof ATTEMPT_RESULT];

/** Selects the sidecar for a request. */
export interface Router {
  /** Member that should get the request; undefined when none meets the criteria. */
  pick(members: readonly Member[], criteria: RoutingCriteria): Member | undefined;
  /** Must be called when an attempt has been sent. */
  started(vm: string): void;
  /**
   * Must be called when an attempt has ended; `firstByteMs` is the time until its response began.
   */
  ended(vm: string, result: AttemptResult, firstByteMs: number): void;
}

/** Whether a member meets the criteria. */
export const isCandidate = (member: Member, criteria: RoutingCriteria): boolean =>
  member.role === 'sidecar' &&
  !member.leaving &&
  member.group === criteria.group &&
  (criteria.model === undefined || member.models.includes(criteria.model)) &&
  !criteria.triedVms.has(member.vm);

/** Members that meet the criteria. */
export const getCandidates = (members: readonly Member[], criteria: RoutingCriteria): Member[] =>
  members.filter((member) => isCandidate(member, criteria));
