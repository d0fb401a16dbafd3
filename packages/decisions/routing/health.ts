/** Outlier detection: finds upstreams that fail or are slow. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { AttemptResult } from './router';

/** Average failure rate above which an upstream is ejected. */
const MAX_FAILURE_RATE = 0.5;
/** Multiple of the median time to first byte above which an upstream is ejected. */
const SLOW_FACTOR = 5;
/** Samples needed before failure rate and time to first byte count. */
const MIN_SAMPLES = 10;
/** Weight of a new sample in the moving averages; the first samples weigh more. */
const SMOOTHING_FACTOR = 0.1;
/** Weight that an upstream has right after an ejection. */
const RAMP_UP_START_WEIGHT = 0.1;

/** When an upstream is ejected, for how long, and how its share of requests is restored. */
export interface EjectionPolicy {
  /** Failures in a row that eject an upstream. */
  readonly consecutiveFailureThreshold: number;
  /** Duration of the first ejection; doubles with each further one. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Time after an ejection over which the weight of the upstream grows to 1. */
  readonly rampUpMs: number;
}

const DEFAULT_EJECTION_POLICY: EjectionPolicy = {
  consecutiveFailureThreshold: 5,
  baseEjectionMs: 5 * MS_PER_SECOND,
  maxEjectionMs: 60 * MS_PER_SECOND,
  rampUpMs: 10 * MS_PER_SECOND,
};

/** Health of upstreams, judged by this process's own attempts; times are monotonic milliseconds. */
export interface Health {
  /** Records the end of an attempt; `firstByteMs` is the time until its response began. */
  record(
    upstreamId: string,
    result: AttemptResult,
    /** Undefined if it doesn't tell how fast the upstream is. */
    firstByteMs: number | undefined,
    nowMs: number,
  ): void;
  /** Records that an upstream is silent during an attempt, which counts as a failure until it ends. */
  recordSilence(upstreamId: string, nowMs: number): void;
  /** Records that an attempt has content again after a silence: the upstream is sound. */
  recordSilenceEnd(upstreamId: string, nowMs: number): void;
  /** Fraction of its usual requests that an upstream should get: 0 while ejected, else up to 1. */
  weight(upstreamId: string, nowMs: number): number;
  /** Drops the state of all upstreams that are not in the set. */
  retain(upstreamIds: ReadonlySet<string>): void;
}

interface HealthRecord {
  samples: number;
  /** Moving average of failures (1) and successes (0). */
  failureRate: number;
  /** Moving average of the time to first byte. */
  firstByteMs: number;
  consecutiveFailures: number;
  /** Ejections in a row; reset once the upstream is healthy after a whole ramp-up. */
  ejections: number;
  ejectedUntilMs: number;
  /** End of the ejection before the current one, if a silence led to the current one. */
  beforeSilenceMs: number | undefined;
}

const newRecord = (): HealthRecord => ({
  samples: 0,
  failureRate: 0,
  firstByteMs: 0,
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntilMs: -Infinity,
  beforeSilenceMs: undefined,
});

const getMedian = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/**
 * Moving average after a further sample, which is number `samples`: a plain average of the first
 * samples, an exponential one after that.
 */
const getAverage = (average: number, sample: number, samples: number): number =>
  average + (sample - average) * Math.max(SMOOTHING_FACTOR, 1 / samples);

/**
 * Ejects upstreams that fail or are far slower than the others, for longer each time, and restores
 * their share of requests gradually afterwards.
 */
export const newHealth = (policy: EjectionPolicy = DEFAULT_EJECTION_POLICY): Health => {
  const records = new Map<string, HealthRecord>();

  const getRecord = (upstreamId: string): HealthRecord => {
    const existing = records.get(upstreamId);
    if (existing !== undefined) return existing;
    const record = newRecord();
    records.set(upstreamId, record);
    return record;
  };

  const isSlow = (record: HealthRecord): boolean => {
    const times = [...records.values()]
      .filter(({ samples }) => samples >= MIN_SAMPLES)
      .map(({ firstByteMs }) => firstByteMs);
    // With only two upstreams, the median does not tell which one is the outlier.
    return times.length >= 3 && record.firstByteMs > SLOW_FACTOR * getMedian(times);
  };

  const isUnhealthy = (record: HealthRecord): boolean => {
    if (record.consecutiveFailures >= policy.consecutiveFailureThreshold) return true;
    if (record.samples < MIN_SAMPLES) return false;
    return record.failureRate > MAX_FAILURE_RATE || isSlow(record);
  };

  const eject = (record: HealthRecord, nowMs: number): void => {
    const durationMs = Math.min(
      policy.maxEjectionMs,
      policy.baseEjectionMs * 2 ** record.ejections,
    );
    record.ejections += 1;
    record.ejectedUntilMs = nowMs + durationMs;
    record.samples = 0;
    record.failureRate = 0;
    record.consecutiveFailures = 0;
    record.beforeSilenceMs = undefined;
  };

  const addSample = (
    record: HealthRecord,
    result: AttemptResult,
    sampleMs: number | undefined,
  ): void => {
    const isFailure = result === 'failed';
    record.samples += 1;
    record.failureRate = getAverage(record.failureRate, isFailure ? 1 : 0, record.samples);
    record.consecutiveFailures = isFailure ? record.consecutiveFailures + 1 : 0;
    // Failures are often fast; counting them would make the upstream look fast.
    if (isFailure || sampleMs === undefined) return;
    record.firstByteMs = getAverage(record.firstByteMs, sampleMs, record.samples);
  };

  return {
    record: (upstreamId, result, firstByteMs, nowMs) => {
      if (result === 'refused') return;
      const record = getRecord(upstreamId);
      // Attempts that were sent before the ejection carry no new information.
      if (nowMs < record.ejectedUntilMs) return;
      addSample(record, result, firstByteMs);
      if (isUnhealthy(record)) eject(record, nowMs);
      else if (nowMs > record.ejectedUntilMs + policy.rampUpMs) record.ejections = 0;
    },
    recordSilence: (upstreamId, nowMs) => {
      const record = getRecord(upstreamId);
      if (nowMs < record.ejectedUntilMs) return;
      record.consecutiveFailures += 1;
      if (record.consecutiveFailures < policy.consecutiveFailureThreshold) return;
      const beforeSilenceMs = record.ejectedUntilMs;
      eject(record, nowMs);
      record.beforeSilenceMs = beforeSilenceMs;
    },
    recordSilenceEnd: (upstreamId, nowMs) => {
      const record = getRecord(upstreamId);
      record.consecutiveFailures = 0;
      const { beforeSilenceMs } = record;
      record.beforeSilenceMs = undefined;
      if (beforeSilenceMs === undefined || nowMs >= record.ejectedUntilMs) return;
      record.ejectedUntilMs = beforeSilenceMs;
      record.ejections -= 1;
    },
    weight: (upstreamId, nowMs) => {
      const record = records.get(upstreamId);
      if (record === undefined) return 1;
      const sinceEjectionMs = nowMs - record.ejectedUntilMs;
      if (sinceEjectionMs < 0) return 0;
      return Math.min(
        1,
        RAMP_UP_START_WEIGHT + ((1 - RAMP_UP_START_WEIGHT) * sinceEjectionMs) / policy.rampUpMs,
      );
    },
    retain: (upstreamIds) => {
      records.forEach((_, upstreamId) => {
        if (!upstreamIds.has(upstreamId)) records.delete(upstreamId);
      });
    },
  };
};
