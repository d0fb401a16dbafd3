/** Quarantine of input that crashes upstreams: parts of prompts, and whole requests. */
import { MAX_TELLING_LOSS_RATE } from './constants';
import type { Crash } from './crashEvidence';
import { newPromptQuarantine, type LostPrompt, type PromptQuarantine } from './promptQuarantine';
import type { RequestDigest } from './requestDigest';
import { newRequestQuarantine, type RequestQuarantine } from './requestQuarantine';
import { getLossProbability, getLossRate, newSoundLossRate } from './soundLossRate';
import { PART_STATE, type InputAssessment, type QuarantineChange } from './types';

/** What a request brings to an upstream. */
export interface RequestInput {
  readonly promptParts: readonly string[];
  /** Undefined for an item of a job, which is never taken for the cause of a crash. */
  readonly digest?: RequestDigest | undefined;
}

/** What a request brought to an upstream that crashed, and for how long it had run there. */
export interface LostInput {
  readonly promptParts: readonly string[];
  /** Undefined for an item of a job. */
  readonly digest: string | undefined;
  /** Time from the request's start to its loss, in milliseconds. */
  readonly runMs: number;
  /** Requests and items that the upstream had, with this one. */
  readonly concurrency: number;
  /** Whether the first content was long ago: the request itself rarely is the cause. */
  readonly hasOutlivedStart: boolean;
}

/** Quarantine of one gateway; all times are monotonic milliseconds. */
export interface InputQuarantine {
  readonly parts: PromptQuarantine;
  readonly requests: RequestQuarantine;
  /** Assessment of the most suspicious part of the input. */
  assess(input: RequestInput, nowMs: number): InputAssessment;
  /** Records that an upstream has answered a request as a whole. */
  recordAnswer(digest: RequestDigest, nowMs: number): void;
  /** Records what was lost together as an upstream crashed. */
  recordCrash(upstream: string, lost: readonly LostInput[], nowMs: number): void;
}

const newCrash = ({ runMs, concurrency }: LostInput, atMs: number): Crash => ({
  atMs,
  runMs,
  concurrency,
});

/** Creates a quarantine without suspects; `onChange` is called when anything enters or leaves it. */
export const newInputQuarantine = (
  onChange?: (change: QuarantineChange) => void,
): InputQuarantine => {
  const lossRate = newSoundLossRate();
  const requests = newRequestQuarantine(onChange);
  const parts = newPromptQuarantine(onChange, requests.explains, lossRate);

  /** Whether a crash says something against the request itself: sound ones are rarely lost so. */
  const isTelling = ({ digest, runMs, hasOutlivedStart }: LostInput, nowMs: number): boolean => {
    if (!hasOutlivedStart || digest === undefined) return true;
    const loss = lossRate.getCounts(requests.getCrashedUpstreams(digest), nowMs);
    return getLossProbability(getLossRate([loss]), runMs) <= MAX_TELLING_LOSS_RATE;
  };

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
    recordCrash: (upstream, lost, nowMs) => {
      lost
        .filter((input) => isTelling(input, nowMs))
        .forEach((input) => {
          if (input.digest === undefined) return;
          requests.recordCrash(upstream, input.digest, newCrash(input, nowMs));
        });
      const getPrompts = (inputs: readonly LostInput[]): LostPrompt[] =>
        inputs.map((input) => ({
          promptParts: input.promptParts,
          crash: newCrash(input, nowMs),
        }));
      parts.recordCrash(upstream, getPrompts(lost.filter(({ digest }) => digest !== undefined)));
      parts.recordLostItems(
        upstream,
        getPrompts(lost.filter(({ digest }) => digest === undefined)),
      );
    },
  };
};
