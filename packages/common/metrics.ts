import { StatsD } from 'hot-shots';
import { build, type Histogram as HdrHistogram } from 'hdr-histogram-js';
import type { ServiceClass } from './constants';

const MAX_VALUE_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const MAX_TEAMS = 2_000;
const OTHER_TEAM = 'other';
const STATSD_BUFFER_BYTES = 1_400;

/** Histograms kept for each team and class, all in milliseconds. */
export const HISTOGRAM = {
  queueWait: 'queue_wait_ms',
  firstToken: 'first_token_ms',
  betweenTokens: 'between_tokens_ms',
  total: 'total_ms',
} as const;
export type HistogramName = (typeof HISTOGRAM)[keyof typeof HISTOGRAM];

/** Percentiles of one histogram in milliseconds. */
export interface HistogramSummary {
  readonly team: string;
  readonly serviceClass: string;
  readonly name: string;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Recorder of histograms and counters for each team and class. */
export interface Metrics {
  /** Records a duration in milliseconds. */
  record(name: HistogramName, team: string, serviceClass: ServiceClass, valueMs: number): void;
  /** Records many durations; the receiver is sent their mean, in one message. */
  recordAll(
    name: HistogramName,
    team: string,
    serviceClass: ServiceClass,
    valuesMs: readonly number[],
  ): void;
  /** Counts an event such as a refusal; `reason` comes from a fixed set. */
  count(name: string, team: string, reason: string): void;
  summaries(): HistogramSummary[];
  counts(): Readonly<Record<string, number>>;
  close(): void;
}

/** Address of a StatsD receiver. */
export interface StatsdReceiver {
  readonly host: string;
  readonly port: number;
}

/** Metrics in bounded histograms, also sent to a StatsD receiver over UDP when one is given. */
export const newMetrics = (receiver: StatsdReceiver | undefined): Metrics => {
  const histograms = new Map<string, HdrHistogram>();
  const counters = new Map<string, number>();
  const teams = new Set<string>();
  const statsd =
    receiver &&
    new StatsD({
      ...receiver,
      prefix: 'anvilpaddle.',
      maxBufferSize: STATSD_BUFFER_BYTES,
      // A receiver that is away must not disturb serving.
      errorHandler: () => undefined,
    });

  const getTeamLabel = (team: string): string => {
    if (teams.has(team)) return team;
    if (teams.size >= MAX_TEAMS) return OTHER_TEAM;
    teams.add(team);
    return team;
  };

  const getHistogram = (key: string): HdrHistogram => {
    const known = histograms.get(key);
    if (known !== undefined) return known;
    const histogram = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_VALUE_MS,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
    histograms.set(key, histogram);
    return histogram;
  };

  const getBounded = (valueMs: number): number =>
    Math.min(MAX_VALUE_MS, Math.max(0, Math.round(valueMs)));

  return {
    record: (name, team, serviceClass, valueMs) => {
      const label = getTeamLabel(team);
      const bounded = getBounded(valueMs);
      getHistogram(`${label}|${serviceClass}|${name}`).recordValue(bounded);
      statsd?.histogram(name, bounded, { team: label, class: serviceClass });
    },
    recordAll: (name, team, serviceClass, valuesMs) => {
      if (valuesMs.length === 0) return;
      const label = getTeamLabel(team);
      const histogram = getHistogram(`${label}|${serviceClass}|${name}`);
      valuesMs.forEach((valueMs) => histogram.recordValue(getBounded(valueMs)));
      const meanMs = valuesMs.reduce((sum, valueMs) => sum + valueMs, 0) / valuesMs.length;
      statsd?.histogram(name, getBounded(meanMs), { team: label, class: serviceClass });
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
