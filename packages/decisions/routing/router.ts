import type { Member } from '@anvilpaddle/protocol';

/** What a request needs of an upstream. */
export interface RoutingCriteria {
  readonly group: string;
  readonly model?: string | undefined;
  /** Failure domain of the entry, preferred. */
  readonly failureDomain: string;
  /** Hash of the prompt's start; requests with the same hash share a cached prefix. */
  readonly prefix?: string | undefined;
  /** Sidecars that this request has tried already. */
  readonly triedVms: ReadonlySet<string>;
}

/** How an attempt ended, as far as routing is concerned. */
export const ATTEMPT_RESULT = {
  ok: 'ok',
  /** The upstream failed: counts against its health. */
  failed: 'failed',
  /** The sidecar had no room: says nothing about the upstream's health. */
  refused: 'refused',
} as const;
export type AttemptResult = (typeof ATTEMPT_RESULT)[keyof typeof ATTEMPT_RESULT];

/** Chooses the sidecar for a request. */
export interface Router {
  /** Undefined when nothing serves the need. */
  pick(members: readonly Member[], need: RoutingCriteria): Member | undefined;
  /** An attempt has been sent. */
  started(vm: string): void;
  /** An attempt has ended; `delayMs` is the time until its answer began. */
  ended(vm: string, result: AttemptResult, delayMs: number): void;
}

/** Whether a member can serve the need at all. */
export const isCandidate = (member: Member, need: RoutingCriteria): boolean =>
  member.role === 'sidecar' &&
  !member.leaving &&
  member.group === need.group &&
  (need.model === undefined || member.models.includes(need.model)) &&
  !need.triedVms.has(member.vm);

/** Members that can serve the need. */
export const getCandidates = (members: readonly Member[], need: RoutingCriteria): Member[] =>
  members.filter((member) => isCandidate(member, need));
