/** Quarantine of input that crashes upstreams: parts of prompts, and whole requests. */
import { newPromptQuarantine, type PromptQuarantine } from './promptQuarantine';
import type { RequestDigest } from './requestDigest';
import { newRequestQuarantine, type RequestQuarantine } from './requestQuarantine';
import { PART_STATE, type InputAssessment, type QuarantineChange } from './types';

/** What a request brings to an upstream. */
export interface RequestInput {
  readonly promptParts: readonly string[];
  /** Undefined for an item of a job, which is never taken for the cause of a crash. */
  readonly digest?: RequestDigest | undefined;
}

/** What a request brought to an upstream that crashed, as far as it may be the cause. */
export interface LostInput {
  /** Undefined if content had arrived: a harmful part crashes its upstream before. */
  readonly promptParts: readonly string[] | undefined;
  /** Undefined for an item of a job. */
  readonly digest: string | undefined;
}

/** Quarantine of one gateway; all times are monotonic milliseconds. */
export interface InputQuarantine {
  readonly parts: PromptQuarantine;
  readonly requests: RequestQuarantine;
  /** Assessment of the most suspicious part of the input. */
  assess(input: RequestInput, nowMs: number): InputAssessment;
  /** Records that an upstream has answered a request as a whole. */
  recordAnswer(digest: RequestDigest, nowMs: number): void;
  recordCrash(upstream: string, lost: LostInput, nowMs: number): void;
}

/** Creates a quarantine without suspects; `onChange` is called when anything enters or leaves it. */
export const newInputQuarantine = (
  onChange?: (change: QuarantineChange) => void,
): InputQuarantine => {
  const requests = newRequestQuarantine(onChange);
  const parts = newPromptQuarantine(onChange, requests.explains);

  const assessRequest = (digest: RequestDigest, nowMs: number): InputAssessment =>
    requests.isKnown(digest.outline)
      ? requests.assess(digest.get(), nowMs)
      : { state: PART_STATE.clear };

  return {
    parts,
    requests,
    assess: ({ promptParts, digest }, nowMs) => {
      const byParts = parts.assess(promptParts, nowMs);
      if (byParts.state === PART_STATE.quarantined || digest === undefined) return byParts;
      const asRequest = assessRequest(digest, nowMs);
      return asRequest.state === PART_STATE.clear ? byParts : asRequest;
    },
    recordAnswer: (digest, nowMs) => {
      if (requests.isKnown(digest.outline)) requests.recordAnswer(digest.get(), nowMs);
    },
    recordCrash: (upstream, { promptParts, digest }, nowMs) => {
      if (digest === undefined) {
        parts.recordLostItem(upstream, promptParts ?? [], nowMs);
        return;
      }
      requests.recordCrash(upstream, digest, nowMs);
      if (promptParts !== undefined) parts.recordCrash(upstream, promptParts, nowMs);
    },
  };
};
