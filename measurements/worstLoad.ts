/** Measurement of placement at a peak, by the number of gateways and the age of the loads they know. */
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import { getPlacement, newLoadTracker, type Candidate } from '@anvilpaddle/decisions';
import { getMean, getQuantile } from './kit/statistics';
import { printTable } from './kit/table';

const SLOTS = 8;
/** Requests that an upstream queues before it rejects. */
const MAX_QUEUE = 4;
/** Duration of a request at an idle upstream; a full one takes twice as long. */
const IDLE_SERVICE_MS = 450;
const OBJECTIVE_MS = 300;
const TIMEOUT_MS = 5000;
/** Time of low load before the peak, and of the peak. */
const LOW_MS = 2000;
const PEAK_MS = 3000;
const LOW_FRACTION = 0.21;
/** Attempts of a request that upstreams reject. */
const MAX_ATTEMPTS = 3;
const SEEDS = [1, 2, 3];

/** A fleet: gateways, and the upstreams that they share. */
export interface Fleet {
  readonly gateways: number;
  readonly upstreams: number;
}
const FLEETS: readonly Fleet[] = [
  { gateways: 8, upstreams: 6 },
  { gateways: 38, upstreams: 17 },
  { gateways: 88, upstreams: 34 },
];
/** Time between two reports of a gateway to the others, in milliseconds. */
const REPORT_INTERVALS_MS = [25, 95, 218, 870];
/** Numbers of upstreams that are drawn for a request; infinite for all of them. */
const DRAWS = [1, 2, 3, 4, 6, 8, Infinity];
/** Demand at the peak, as a fraction of what full upstreams serve. */
const DEMANDS = [0.8, 0.95];

/** What came of the requests at a peak. */
export interface Outcome {
  requests: number;
  late: number;
  rejections: number;
  unserved: number;
  readonly waitsMs: number[];
}

/** A request at its upstream. */
interface Run {
  readonly gateway: number;
  readonly arrivedMs: number;
}

/** Upstream that serves in the order of arrival, the more slowly the fuller it is. */
const newUpstream = (random: Random) => {
  const queue: Run[] = [];
  const running: { readonly run: Run; readonly endMs: number }[] = [];
  return {
    /** False if the upstream rejects the request. */
    admit: (run: Run): boolean => {
      if (running.length >= SLOTS && queue.length >= MAX_QUEUE) return false;
      queue.push(run);
      return true;
    },
    /** Ends and starts requests; returns those that end, and passes the wait of those that start. */
    advance: (nowMs: number, onStart: (waitMs: number) => void): Run[] => {
      const ended = running.filter(({ endMs }) => endMs <= nowMs);
      ended.forEach((entry) => running.splice(running.indexOf(entry), 1));
      while (running.length < SLOTS) {
        const run = queue.shift();
        if (run === undefined) break;
        const slowness = 1 + (running.length + 1) / SLOTS;
        running.push({ run, endMs: nowMs + IDLE_SERVICE_MS * slowness * (0.6 + 0.8 * random()) });
        onStart(nowMs - run.arrivedMs);
      }
      return ended.map(({ run }) => run);
    },
  };
};

/** Replays low load and a peak after it; only the requests of the peak count. */
export const replayPeak = (
  { gateways, upstreams: upstreamCount }: Fleet,
  reportIntervalMs: number,
  drawn: number,
  demand: number,
  seed: number,
): Outcome => {
  const random = newSeededRandom(seed);
  const trackers = Array.from({ length: gateways }, () => newLoadTracker());
  const upstreams = new Map(
    Array.from({ length: upstreamCount }, (_, index) => [`u${index}`, newUpstream(random)]),
  );
  const outcome: Outcome = { requests: 0, late: 0, rejections: 0, unserved: 0, waitsMs: [] };
  const peakPerMs = (demand * upstreamCount * SLOTS) / (2 * IDLE_SERVICE_MS);

  const getCandidates = (gateway: number, tried: ReadonlySet<string>, nowMs: number): Candidate[] =>
    [...upstreams.keys()]
      .filter((id) => !tried.has(id))
      .map((id) => ({
        id,
        slots: SLOTS,
        load: trackers[gateway]?.getLoad(id, nowMs) ?? { online: 0, batch: 0 },
        weight: 1,
        isSameFailureDomain: false,
        upstreamMeanMs: 2 * IDLE_SERVICE_MS,
        serviceMeanMs: 2 * IDLE_SERVICE_MS,
        limitWaitMs: undefined,
        isCold: false,
      }));

  const request = (nowMs: number): void => {
    const isCounted = nowMs >= LOW_MS;
    const gateway = Math.floor(random() * gateways);
    const tried = new Set<string>();
    outcome.requests += Number(isCounted);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const candidates = getCandidates(gateway, tried, nowMs);
      const timing = { objectiveLeftMs: OBJECTIVE_MS, timeLeftMs: TIMEOUT_MS };
      const placement = getPlacement(candidates, timing, random, drawn);
      if (placement.kind === 'refuse') break;
      if (upstreams.get(placement.upstream)?.admit({ gateway, arrivedMs: nowMs }) === true) {
        trackers[gateway]?.begin(placement.upstream, 'online');
        return;
      }
      tried.add(placement.upstream);
      outcome.rejections += Number(isCounted);
    }
    outcome.unserved += Number(isCounted);
  };

  const report = (nowMs: number): void =>
    trackers.forEach((from, sender) => {
      // Gateways report at different times.
      if ((nowMs + sender * 37) % reportIntervalMs !== 0) return;
      const loads = new Map(from.getOwn());
      trackers.forEach((to, receiver) => {
        if (receiver !== sender) to.updatePeer(`g${sender}`, loads, nowMs);
      });
    });

  for (let nowMs = 0; nowMs < LOW_MS + PEAK_MS; nowMs += 1) {
    const at = nowMs;
    const onStart = (waitMs: number): void => {
      if (at - waitMs < LOW_MS) return;
      outcome.waitsMs.push(waitMs);
      outcome.late += Number(waitMs > OBJECTIVE_MS / 2);
    };
    upstreams.forEach((upstream, id) =>
      upstream.advance(at, onStart).forEach(({ gateway }) => trackers[gateway]?.end(id, 'online')),
    );
    report(at);
    let due = peakPerMs * (at < LOW_MS ? LOW_FRACTION : 1);
    for (; due > 0; due -= 1) {
      if (random() < due) request(at);
    }
  }
  return outcome;
};

const measureCase = (fleet: Fleet, reportIntervalMs: number, drawn: number, demand: number) => {
  const outcomes = SEEDS.map((seed) => replayPeak(fleet, reportIntervalMs, drawn, demand, seed));
  const getPerThousand = (get: (outcome: Outcome) => number): string =>
    getMean(outcomes.map((outcome) => (1000 * get(outcome)) / outcome.requests)).toFixed(0);
  const waitsMs = outcomes.flatMap((outcome) => outcome.waitsMs);
  return {
    gateways: fleet.gateways,
    demand,
    'reports each, ms': reportIntervalMs,
    drawn: drawn === Infinity ? 'all' : drawn,
    'late of 1000': getPerThousand(({ late }) => late),
    rejections: getPerThousand(({ rejections }) => rejections),
    unserved: getPerThousand(({ unserved }) => unserved),
    'p99 wait, ms': getQuantile(waitsMs, 0.99),
  };
};

/** Measures placement for each fleet, age of loads and number of drawn upstreams. */
export const measureWorstLoad = (): Promise<void> => {
  FLEETS.forEach((fleet) =>
    printTable(
      `Placement at a peak: ${fleet.gateways} gateways, ${fleet.upstreams} upstreams`,
      DEMANDS.flatMap((demand) =>
        REPORT_INTERVALS_MS.flatMap((reportIntervalMs) =>
          DRAWS.map((drawn) => measureCase(fleet, reportIntervalMs, drawn, demand)),
        ),
      ),
    ),
  );
  return Promise.resolve();
};
