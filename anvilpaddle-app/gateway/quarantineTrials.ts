/**
 * Trials of quarantined input. A sound request may have been aboard at three crashes by chance, and a sound
 * part of prompts where several upstreams lost their power: the next attempt is let through as a trial, is
 * answered, and so releases it. The store counts the trials of all gateways together, so that a
 * harmful request gets no more of them for ever, whatever restarts or is cut off.
 */
import { MS_PER_MINUTE, MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import { DIGEST_MARK, PART_STATE, type InputAssessment } from '@anvilpaddle/decisions';
import type { RecordStore, StoredRecord } from '@anvilpaddle/platform';
import { parsePartReport } from './partReport';

/** Table of the quarantined parts and requests. */
export const QUARANTINE_TABLE = 'quarantine';
/** Number of trials of a request or a part. */
const MAX_TRIALS = 2;
/** Time from the last crash to the first trial: crashed upstreams need some seconds to restart. */
const FIRST_TRIAL_DELAY_MS = 3 * MS_PER_SECOND;
/** Time from the first trial to the second one, which is for a trial that was lost by chance. */
const SECOND_TRIAL_DELAY_MS = 5 * MS_PER_MINUTE;
/** Time after which this gateway asks again if the store has not answered, or has no row yet. */
const ASK_INTERVAL_MS = 3 * MS_PER_SECOND;

/** What the store says to a trial. */
const REPLY = {
  granted: 'granted',
  /** The request has had its trials, or the last one is too recent. */
  denied: 'denied',
  unknown: 'unknown',
} as const;
type Reply = (typeof REPLY)[keyof typeof REPLY];

/** Trials for one gateway. */
export interface QuarantineTrials {
  /** Whether a trial may be asked for now: of a request, or a part that crashed upstreams at few moments. */
  isDue(assessment: InputAssessment): boolean;
  /** Takes a trial of a request or a part; false if it has none, or if the store doesn't say so. */
  take(part: string): Promise<boolean>;
}

/** Trials that the store has counted. */
interface TrialCount {
  readonly trials: number;
  /** Time of the last one on the store's clock, in milliseconds. */
  readonly lastTrialMs: number;
}

const parseJson = (value: Buffer): Readonly<Record<string, unknown>> | undefined => {
  try {
    const json: unknown = JSON.parse(value.toString());
    return typeof json === 'object' && json !== null ? { ...json } : undefined;
  } catch {
    return undefined;
  }
};

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/** Trials so far, none in a new row; a row whose counts make no sense allows no more. */
const getTrialCount = ({ trials = 0, lastTrialMs = 0 }: Record<string, unknown>): TrialCount =>
  isCount(trials) && isCount(lastTrialMs)
    ? { trials, lastTrialMs }
    : { trials: MAX_TRIALS, lastTrialMs: 0 };

const isAllowed = ({ trials, lastTrialMs }: TrialCount, storeMs: number): boolean =>
  trials === 0 || (trials < MAX_TRIALS && storeMs - lastTrialMs >= SECOND_TRIAL_DELAY_MS);

/** Creates the trials of what the store has in quarantine. */
export const newQuarantineTrials = (
  store: RecordStore,
  clock: Clock,
  log: Logger,
): QuarantineTrials => {
  /** Time of the next question to the store, by part; those that have passed are dropped. */
  const nextAskMs = new Map<string, number>();

  const commitTrial = async (row: StoredRecord, storeMs: number): Promise<Reply> => {
    const json = row.value && parseJson(row.value);
    const report = parsePartReport(json);
    if (json === undefined || report === undefined) return REPLY.denied;
    const count = getTrialCount(json);
    if (!isAllowed(count, storeMs)) return REPLY.denied;
    const name = { table: QUARANTINE_TABLE, partition: '', key: row.key };
    const value = { ...report, trials: count.trials + 1, lastTrialMs: Math.round(storeMs) };
    const commit = await store.commit({
      checks: [{ ...name, revision: row.revision }],
      writes: [{ ...name, value: Buffer.from(JSON.stringify(value)) }],
    });
    // An unknown outcome may have used up the trial.
    return commit.ok && commit.value.committed ? REPLY.granted : REPLY.unknown;
  };

  const ask = async (part: string): Promise<Reply> => {
    const range = { from: part, to: `${part}\u0001` };
    const page = await store.read(QUARANTINE_TABLE, '', range);
    if (!page.ok) return REPLY.unknown;
    const row = page.value.records.find(({ key }) => key === part);
    return row === undefined ? REPLY.unknown : commitTrial(row, page.value.storeMs);
  };

  const hasAskedLately = (part: string): boolean => clock.monotonic() < (nextAskMs.get(part) ?? 0);

  return {
    isDue: (assessment) =>
      assessment.state === PART_STATE.quarantined &&
      assessment.isTriable &&
      assessment.ageMs >= FIRST_TRIAL_DELAY_MS &&
      !hasAskedLately(assessment.part),
    take: async (part) => {
      if (hasAskedLately(part)) return false;
      const nowMs = clock.monotonic();
      nextAskMs.forEach((askMs, asked) => {
        if (askMs <= nowMs) nextAskMs.delete(asked);
      });
      nextAskMs.set(part, nowMs + ASK_INTERVAL_MS);
      const reply = await ask(part);
      const subject = part.startsWith(DIGEST_MARK) ? 'request' : 'part';
      log.warn({ part, reply }, `trial of a quarantined ${subject}`);
      if (reply !== REPLY.unknown) nextAskMs.set(part, nowMs + SECOND_TRIAL_DELAY_MS);
      return reply === REPLY.granted;
    },
  };
};
