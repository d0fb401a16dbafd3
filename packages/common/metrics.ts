/** Latency histograms and event counters. */
import { StatsD } from 'hot-shots';
import { build, type Histogram as HdrHistogram } from 'hdr-histogram-js';
import type { ServiceClass } from './constants';

/** Largest duration that a histogram holds; longer ones are recorded as this. */
const MAX_VALUE_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
/** Bounds memory: teams beyond this number share the label `other`. */
const MAX_TEAM_LABELS = 2_000;
const OTHER_TEAM_LABEL = 'other';
/** Size up to which metrics are collected into one datagram. */
const STATSD_BUFFER_BYTES = 1_400;

/** Names of the histograms that are kept for each team and service class, in milliseconds. */
export const HISTOGRAM = {
  queueWait: 'queue_wait_ms',
  firstToken: 'first_token_ms',
  betweenTokens: 'between_tokens_ms',
  total: 'total_ms',
} as const;
export type HistogramName = (typeof HISTOGRAM)[keyof typeof HISTOGRAM];

/** Count and percentiles, in milliseconds, of one histogram. */
export interface HistogramSummary {
  readonly team: string;
  readonly serviceClass: string;
  readonly name: string;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Histograms for each team and service class, and counters for each team and reason. */
export interface Metrics {
  /** Records a duration in milliseconds. */
  record(name: HistogramName, team: string, serviceClass: ServiceClass, valueMs: number): void;
  /** Records several durations; only their mean is sent to the StatsD receiver, as one sample. */
  recordAll(
    name: HistogramName,
    team: string,
    serviceClass: ServiceClass,
    valuesMs: readonly number[],
  ): void;
  /** Counts an event such as a refusal; `reason` must come from a fixed set of values. */
  count(name: string, team: string, reason: string): void;
  summaries(): HistogramSummary[];
  /** Counters by `name|team|reason`. */
  counts(): Readonly<Record<string, number>>;
  close(): void;
}

/** Address of a StatsD receiver. */
export interface StatsdReceiver {
  readonly host: string;
  readonly port: number;
}

/** Keeps metrics in bounded memory; also sends them to StatsD over UDP if a receiver is given. */
export const newMetrics = (receiver: StatsdReceiver | undefined): Metrics => {
  const histograms = new Map<string, HdrHistogram>();
  const counters = new Map<string, number>();
  const teamLabels = new Set<string>();
  const statsd =
    receiver &&
    new StatsD({
      ...receiver,
      prefix: 'anvilpaddle.',
      maxBufferSize: STATSD_BUFFER_BYTES,
      // An unreachable receiver must not affect the serving of requests.
      errorHandler: () => undefined,
    });

  const getTeamLabel = (team: string): string => {
    if (teamLabels.has(team)) return team;
    if (teamLabels.size >= MAX_TEAM_LABELS) return OTHER_TEAM_LABEL;
    teamLabels.add(team);
    return team;
  };

  const getHistogram = (key: string): HdrHistogram => {
    const existing = histograms.get(key);
    if (existing !== undefined) return existing;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_VALUE_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    histograms.set(key, histogram);
    return histogram;
  };

  const clampMs = (valueMs: number): number =>
    Math.min(MAX_VALUE_MS, Math.max(0, Math.round(valueMs)));

  return {
    record: (name, team, serviceClass, valueMs) => {
      const label = getTeamLabel(team);
      const clampedMs = clampMs(valueMs);
      getHistogram(`${label}|${serviceClass}|${name}`).recordValue(clampedMs);
      statsd?.histogram(name, clampedMs, { team: label, class: serviceClass });
    },
    recordAll: (name, team, serviceClass, valuesMs) => {
      if (valuesMs.length === 0) return;
      const label = getTeamLabel(team);
      const histogram = getHistogram(`${label}|${serviceClass}|${name}`);
      valuesMs.forEach((valueMs) => histogram.recordValue(clampMs(valueMs)));
      const meanMs = valuesMs.reduce((sum, valueMs) => sum + valueMs, 0) / valuesMs.length;
      statsd?.histogram(name, clampMs(meanMs), { team: label, class: serviceClass });
    },
    count: (name, team, reason) => {
      const label = getTeamLabel(team);
      const key = `${name}|${label}|${reason}`;
      counters.set(key, (counters.get(key) ?? 0) + 1);
      statsd?.increment(name, 1, { team: label, reason });
    },
    summaries: () =>
      [...histograms].map(([key, histogram]) => {
        const [team = '', serviceClass = '', name = ''] = key.split('|');
        return {
          team,
          serviceClass,
          name,
          count: histogram.totalCount,
          p50: histogram.getValueAtPercentile(50),
          p95: histogram.getValueAtPercentile(95),
          p99: histogram.getValueAtPercentile(99),
        };
      }),
    counts: () => Object.fromEntries(counters),
    close: () => statsd?.close(() => undefined),
  };
};
