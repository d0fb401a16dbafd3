/** Which upstreams are cold: they have started, or have become cold again, and are slow for some seconds. */
import { MS_PER_MINUTE } from '@anvilpaddle/common';

/** How the upstreams of a service behave while cold. */
export interface ColdSettings {
  /** Time from its start for which an upstream is cold, in milliseconds; 0 for never. */
  readonly coldStartMs: number;
  /** Requests per second that a cold upstream takes from all gateways; 0 for any number. */
  readonly requestsPerSecond: number;
}

/** What a record says of an upstream. */
export interface ColdRecord {
  readonly id: string;
  readonly incarnation: string;
  readonly service: string;
  readonly failureDomain: string;
  /** Time for which the upstream stays cold, in milliseconds; undefined if it names none. */
  readonly coldLeftMs: number | undefined;
  /** Revision of the store at which the record was written. */
  readonly revision: number;
}

/** An upstream that has become cold, or whose time or rate has changed. */
export interface ColdState {
  readonly incarnation: string;
  readonly untilMs: number;
  /** Undefined if the upstream takes any number. */
  readonly requestsPerSecond: number | undefined;
}

/** Cold upstreams, by incarnation. Times are monotonic milliseconds. */
export interface ColdUpstreams {
  /** Sets how the upstreams of each service behave while cold; others are never cold. */
  setServices(services: ReadonlyMap<string, ColdSettings>, nowMs: number): void;
  applyRecord(record: ColdRecord, nowMs: number): void;
  /** Applies that the evacuation of a failure domain has ended, by this revision of the store. */
  applyEvacuationEnd(failureDomain: string, revision: number, nowMs: number): void;
  isCold(incarnation: string, nowMs: number): boolean;
  getColdCount(nowMs: number): number;
  /** Called after each read of the records; the first one tells which upstreams started before. */
  completeRead(incarnations: ReadonlySet<string>, nowMs: number): void;
}

/** Called for changes. */
export interface ColdHooks {
  /** Called for an upstream that has become cold, and for a change of its time or its rate. */
  onCold(state: ColdState, wasCold: boolean): void;
  /** Called for an upstream that has become warm. */
  onWarm(incarnation: string): void;
}

/** Longest time for which one record makes an upstream cold. */
const MAX_COLD_MS = 10 * MS_PER_MINUTE;
/** Time for which the run of an upstream is remembered that is no longer listed. */
const MAX_MISSING_MS = 10 * MS_PER_MINUTE;

/** What is known of one run of an upstream. */
interface Run {
  readonly record: ColdRecord;
  /** Time until which its last record says that it is cold. */
  readonly recordUntilMs: number;
  /** Time from which it counts as cold for its whole start, until a newer record. */
  readonly startMs: number;
  /** Records up to this revision say nothing of it. */
  readonly minRevision: number;
}

/** Creates the state, of which nothing is known. */
export const newColdUpstreams = ({ onCold, onWarm }: ColdHooks): ColdUpstreams => {
  let services: ReadonlyMap<string, ColdSettings> = new Map();
  let hasRead = false;
  const runs = new Map<string, Run>();
  const missingSinceMs = new Map<string, number>();
  /** Upstreams that are cold, as they were last announced. */
  const cold = new Map<string, ColdState>();

  const getUntilMs = ({ record, recordUntilMs, startMs }: Run): number => {
    const settings = services.get(record.service);
    if (settings === undefined) return -Infinity;
    const { coldStartMs, requestsPerSecond } = settings;
    if (coldStartMs <= 0 && requestsPerSecond <= 0) return -Infinity;
    return Math.max(recordUntilMs, startMs + Math.max(0, coldStartMs));
  };

  /** Announces what has changed for a run. */
  const update = (run: Run, nowMs: number): void => {
    const { incarnation, service } = run.record;
    const known = cold.get(incarnation);
    const untilMs = getUntilMs(run);
    if (untilMs <= nowMs) {
      if (cold.delete(incarnation)) onWarm(incarnation);
      return;
    }
    const rate = services.get(service)?.requestsPerSecond ?? 0;
    const requestsPerSecond = rate > 0 ? rate : undefined;
    if (known?.untilMs === untilMs && known.requestsPerSecond === requestsPerSecond) return;
    const state = { incarnation, untilMs, requestsPerSecond };
    cold.set(incarnation, state);
    onCold(state, known !== undefined);
  };

  const set = (run: Run, nowMs: number): void => {
    runs.set(run.record.incarnation, run);
    update(run, nowMs);
  };

  return {
    setServices: (next, nowMs) => {
      services = next;
      runs.forEach((run) => update(run, nowMs));
    },
    applyRecord: (record, nowMs) => {
      const known = runs.get(record.incarnation);
      const minRevision = known?.minRevision ?? -Infinity;
      // A read returns records again that have not been written since.
      if (record.revision <= Math.max(minRevision, known?.record.revision ?? -Infinity)) return;
      const coldLeftMs = Math.min(MAX_COLD_MS, Math.max(0, record.coldLeftMs ?? 0));
      const hasStarted = known === undefined && hasRead && coldLeftMs === 0;
      set(
        {
          record,
          recordUntilMs: coldLeftMs === 0 ? -Infinity : nowMs + coldLeftMs,
          startMs: hasStarted ? nowMs : -Infinity,
          minRevision,
        },
        nowMs,
      );
    },
    applyEvacuationEnd: (failureDomain, revision, nowMs) =>
      [...runs.values()]
        .filter(({ record }) => record.failureDomain === failureDomain)
        // A newer record has said how long the upstream stays cold.
        .filter(({ record }) => record.revision <= revision)
        .forEach((run) => set({ ...run, startMs: nowMs, minRevision: revision }, nowMs)),
    isCold: (incarnation, nowMs) => (cold.get(incarnation)?.untilMs ?? -Infinity) > nowMs,
    getColdCount: (nowMs) =>
      [...cold].filter(
        ([incarnation, { untilMs }]) => untilMs > nowMs && !missingSinceMs.has(incarnation),
      ).length,
    completeRead: (incarnations, nowMs) => {
      hasRead = true;
      runs.forEach((run, incarnation) => {
        if (incarnations.has(incarnation)) missingSinceMs.delete(incarnation);
        else if (!missingSinceMs.has(incarnation)) missingSinceMs.set(incarnation, nowMs);
        if (cold.has(incarnation)) update(run, nowMs);
        if (nowMs - (missingSinceMs.get(incarnation) ?? nowMs) < MAX_MISSING_MS) return;
        [runs, missingSinceMs, cold].forEach((states) => states.delete(incarnation));
      });
    },
  };
};
