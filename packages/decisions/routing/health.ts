import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { AttemptResult } from './router';

const FAILURE_SHARE = 0.5;
const SLOW_FACTOR = 5;
const MIN_SAMPLES = 10;
const SAMPLE_SHARE = 0.1;
const RAMP_START = 0.1;

/** When an upstream is ejected and how it comes back; times in milliseconds. */
export interface EjectionPolicy {
  readonly consecutiveFailureThreshold: number;
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Time over which the work of an upstream that is back grows to its usual share. */
  readonly rampUpMs: number;
}

const USUAL_BOUNDS: EjectionPolicy = {
  consecutiveFailureThreshold: 5,
  baseEjectionMs: 5 * MS_PER_SECOND,
  maxEjectionMs: 60 * MS_PER_SECOND,
  rampUpMs: 10 * MS_PER_SECOND,
};

/** Health of upstreams as this entry's own attempts show it; times are monotonic milliseconds. */
export interface Health {
  /** An attempt ended; `delayMs` is the time until its answer began. */
  record(vm: string, result: AttemptResult, delayMs: number, nowMs: number): void;
  /** Share of its usual work that an upstream is to get: 0 while ejected, up to 1. */
  weight(vm: string, nowMs: number): number;
  /** Forgets upstreams that are gone. */
  retain(vms: ReadonlySet<string>): void;
}

interface Record {
  samples: number;
  failureShare: number;
  delayMs: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntilMs: number;
}

const newRecord = (): Record => ({
  samples: 0,
  failureShare: 0,
  delayMs: 0,
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntilMs: -Infinity,
});

const getMedian = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

const getMoved = (average: number, sample: number, samples: number): number =>
  average + (sample - average) * Math.max(SAMPLE_SHARE, 1 / samples);

/** Ejects upstreams that fail or are far slower than the others, and lets them back by and by. */
export const newHealth = (bounds: EjectionPolicy = USUAL_BOUNDS): Health => {
  const records = new Map<string, Record>();

  const getRecord = (vm: string): Record => {
    const known = records.get(vm);
    if (known !== undefined) return known;
    const record = newRecord();
    records.set(vm, record);
    return record;
  };

  const isSlow = (record: Record): boolean => {
    const delays = [...records.values()]
      .filter(({ samples }) => samples >= MIN_SAMPLES)
      .map(({ delayMs }) => delayMs);
    // With two upstreams no one can say which is the odd one.
    return delays.length >= 3 && record.delayMs > SLOW_FACTOR * getMedian(delays);
  };

  const isUnhealthy = (record: Record): boolean => {
    if (record.consecutiveFailures >= bounds.consecutiveFailureThreshold) return true;
    if (record.samples < MIN_SAMPLES) return false;
    return record.failureShare > FAILURE_SHARE || isSlow(record);
  };

  const eject = (record: Record, nowMs: number): void => {
    const durationMs = Math.min(
      bounds.maxEjectionMs,
      bounds.baseEjectionMs * 2 ** record.ejections,
    );
    record.ejections += 1;
    record.ejectedUntilMs = nowMs + durationMs;
    record.samples = 0;
    record.failureShare = 0;
    record.consecutiveFailures = 0;
  };

  const learn = (record: Record, result: AttemptResult, delayMs: number): void => {
    const isFailure = result === 'failed';
    record.samples += 1;
    record.failureShare = getMoved(record.failureShare, isFailure ? 1 : 0, record.samples);
    record.consecutiveFailures = isFailure ? record.consecutiveFailures + 1 : 0;
    // A fast failure must not make an upstream look fast.
    if (!isFailure) record.delayMs = getMoved(record.delayMs, delayMs, record.samples);
  };

  return {
    record: (vm, result, delayMs, nowMs) => {
      if (result === 'refused') return;
      const record = getRecord(vm);
      // What was sent before the ejection says nothing new.
      if (nowMs < record.ejectedUntilMs) return;
      learn(record, result, delayMs);
      if (isUnhealthy(record)) eject(record, nowMs);
      else if (nowMs > record.ejectedUntilMs + bounds.rampUpMs) record.ejections = 0;
    },
    weight: (vm, nowMs) => {
      const record = records.get(vm);
      if (record === undefined) return 1;
      const sinceMs = nowMs - record.ejectedUntilMs;
      if (sinceMs < 0) return 0;
      return Math.min(1, RAMP_START + ((1 - RAMP_START) * sinceMs) / bounds.rampUpMs);
    },
    retain: (vms) => {
      records.forEach((_, vm) => {
        if (!vms.has(vm)) records.delete(vm);
      });
    },
  };
};
