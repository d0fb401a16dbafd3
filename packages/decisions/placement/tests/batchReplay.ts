/**
 * Replays a load of online requests and batch items on the decisions of several gateways, without a
 * network: each gateway has its own trackers and run time estimator and knows its peers by reports
 * that arrive late.
 */
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import { compareUrgency, newRunTimeEstimator } from '../../batch/itemOrder';
import { newRunPace, newSlowRunMoves } from '../../batch/runPace';
import { newItemTracker } from '../../batch/itemTracker';
import {
  getItemsToPreempt,
  getPlacedItemsToStart,
  getSpareSlots,
  getUpstreamForItem,
  type BatchCandidate,
} from '../batchPlan';
import { getTotalLoad, newLoadTracker } from '../loadTracker';
import { getPlacement, type Candidate } from '../placement';
import type { Item, ReplayLoad, ReplayResult, Report, Work } from './batchReplayTypes';

const STEP_MS = 10;
const TICK_MS = 30;
const MAX_STARTS_PER_TICK = 2;
const MAX_REPORTED_ITEMS = 8;
const SLOTS = 8;
const ITEMS_PER_JOB = 10;
const DUE_MS = 18_000;
const SUBMISSION_MS = 34_000;
/** Items submitted last are due at the end. */
const REPLAY_MS = SUBMISSION_MS + DUE_MS;
/** Duration of an online request at the fastest upstream. */
const ONLINE_MS = 400;
/** Time per event at the fastest upstream. */
const EVENT_MS = 17;
/** Time to the first event of a run, new or resumed. */
const RUN_START_MS = 42;
const SLOW_RESPONSE = { fraction: 0.15, factor: 2.5 };
const UPSTREAM_SLOWNESS_RANGE = 0.3;
/** Mean slowness of a response at a random upstream. */
const MEAN_SLOWNESS =
  (1 + UPSTREAM_SLOWNESS_RANGE / 2) * (1 + SLOW_RESPONSE.fraction * (SLOW_RESPONSE.factor - 1));
/** Time until gateways stop sending to a lost upstream, or send to one that has returned. */
const OUTAGE_NOTICE_MS = 500;
const REPORT_IDLE_MS = 250;
const REPORT_DELAY_MS = { min: 5, max: 60 };
const LOST_REPORTS_FRACTION = 0.02;
const OBJECTIVE_MS = 300;
const TIMEOUT_MS = 10_000;

/** Upstream for an item by the rule of the earlier version: the emptiest, ties at random. */
const getEmptiest = (candidates: readonly BatchCandidate[], random: Random): string | undefined =>
  candidates
    .filter((candidate) => getSpareSlots(candidate) >= 1)
    .map((candidate) => ({ id: candidate.id, free: getSpareSlots(candidate) + random() }))
    .sort((a, b) => b.free - a.free)[0]?.id;

/** Number of events of a Poisson process. */
const getPoisson = (mean: number, random: Random): number => {
  const limit = Math.exp(-mean);
  let count = -1;
  for (let product = 1; product > limit; product *= random()) count += 1;
  return count;
};

const getRange = (count: number): number[] => Array.from({ length: count }, (_, index) => index);

/** Replays the load. */
export const replayBatchLoad = (load: ReplayLoad, seed: number): ReplayResult => {
  const random = newSeededRandom(seed);
  /** Random source of the load alone, so that all policies get the same. */
  const loadRandom = newSeededRandom(seed + 1000);
  const { wave, outage } = load;
  const isEarlier = (gateway: number): boolean => gateway < (load.earlierGateways ?? 0);
  const reportIntervalMs = Math.max(25, (load.gateways - 1) * 2.5);
  const upstreams = getRange(load.upstreams).map((index) => ({
    index,
    id: `u${index}`,
    slowness: 1 + loadRandom() * UPSTREAM_SLOWNESS_RANGE,
    queue: [] as Work[],
    running: [] as Work[],
  }));
  const lostCount = Math.round(load.upstreams * (outage?.fraction ?? 0));
  const isLost = (index: number, nowMs: number, noticeMs = 0): boolean =>
    outage !== undefined &&
    index < lostCount &&
    nowMs >= outage.fromMs + noticeMs &&
    nowMs < outage.toMs + noticeMs;
  const gateways = getRange(load.gateways).map((index) => {
    const gateway = {
      index,
      loads: newLoadTracker(() => {
        gateway.hasChanged = true;
      }),
      tracker: newItemTracker(),
      estimator: newRunTimeEstimator(),
      slowRunMoves: newSlowRunMoves(),
      items: new Set<Item>(),
      hasChanged: false,
      lastReportMs: -Infinity,
      lastReportOf: getRange(load.gateways).map(() => -Infinity),
    };
    return gateway;
  });
  type GatewayState = (typeof gateways)[number];
  /** Reports by the step at which they arrive. */
  const reports = new Map<number, Report[]>();
  const waits: number[] = [];
  let items = 0;
  let inTime = 0;
  let done = 0;
  let cutRuns = 0;
  let lostRuns = 0;
  let movedRuns = 0;
  let earlyCuts = 0;
  let refused = 0;
  let valleySlotMs = 0;
  let idleSlotMs = 0;

  const getCandidates = (gateway: GatewayState, nowMs: number): (BatchCandidate & Candidate)[] =>
    upstreams
      .filter(({ index }) => !isLost(index, nowMs, OUTAGE_NOTICE_MS))
      .map(({ id }) => ({
        id,
        slots: SLOTS,
        load: gateway.loads.getLoad(id, nowMs),
        weight: 1,
        spareTokens: Infinity,
        isSameFailureDomain: false,
        upstreamMeanMs: ONLINE_MS * MEAN_SLOWNESS,
        serviceMeanMs: ONLINE_MS * MEAN_SLOWNESS,
        limitWaitMs: undefined,
        isCold: false,
      }));

  const getSlowness = (upstream: number, item: Item | undefined): number => {
    const isAny = random() < SLOW_RESPONSE.fraction;
    const isSlow = load.isSlownessOfItem === true ? (item?.isSlow ?? isAny) : isAny;
    return (upstreams[upstream]?.slowness ?? 1) * (isSlow ? SLOW_RESPONSE.factor : 1);
  };

  const send = (
    gateway: GatewayState,
    upstream: number,
    pending: Item | undefined,
    nowMs: number,
  ): void => {
    const slowness = getSlowness(upstream, pending);
    const work: Work = {
      gateway: gateway.index,
      upstream,
      item: pending,
      sentMs: nowMs,
      leftMs: pending === undefined ? ONLINE_MS * (0.5 + random()) * slowness : RUN_START_MS,
      eventMs: EVENT_MS * slowness,
      eventsAtStart: pending?.events ?? 0,
      pace: newRunPace(pending?.events ?? 0),
    };
    upstreams[upstream]?.queue.push(work);
    gateway.loads.begin(`u${upstream}`, pending === undefined ? 'online' : 'batch');
    if (pending !== undefined) pending.work = work;
  };

  /** Ends a request or run that its upstream no longer has. */
  const end = (work: Work, nowMs: number): void => {
    const { item } = work;
    const gateway = gateways[work.gateway] as GatewayState;
    gateway.loads.end(`u${work.upstream}`, item === undefined ? 'online' : 'batch');
    if (item === undefined) return;
    item.work = undefined;
    gateway.estimator.learnRun('r', item.events - work.eventsAtStart, nowMs - work.sentMs);
  };

  const cancel = (work: Work, nowMs: number): void => {
    const upstream = upstreams[work.upstream];
    if (upstream === undefined) return;
    upstream.queue = upstream.queue.filter((other) => other !== work);
    upstream.running = upstream.running.filter((other) => other !== work);
    end(work, nowMs);
  };

  const placeOnline = (gatewayIndex: number, nowMs: number): void => {
    const gateway = gateways[gatewayIndex] as GatewayState;
    const placement = getPlacement(
      getCandidates(gateway, nowMs),
      { objectiveLeftMs: OBJECTIVE_MS, timeLeftMs: TIMEOUT_MS },
      random,
    );
    if (placement.kind === 'refuse') refused += 1;
    else send(gateway, Number(placement.upstream.slice(1)), undefined, nowMs);
  };

  const submitJob = (nowMs: number): void => {
    // The load balancer spreads connections unevenly.
    const gateway = gateways[Math.floor(loadRandom() ** 1.5 * load.gateways)] as GatewayState;
    getRange(ITEMS_PER_JOB).forEach(() => {
      const totalEvents = Math.round(load.eventsPerItem * (0.7 + 0.6 * loadRandom()));
      const dueMs = nowMs + DUE_MS;
      items += 1;
      gateway.items.add({
        gateway: gateway.index,
        dueMs,
        totalEvents,
        isSlow: load.isSlownessOfItem === true && loadRandom() < SLOW_RESPONSE.fraction,
        events: 0,
        notBeforeMs: 0,
        hasMoved: false,
        isAfterSlowRun: false,
        work: undefined,
      });
    });
  };

  const finishItem = (item: Item, nowMs: number): void => {
    const gateway = gateways[item.gateway] as GatewayState;
    gateway.estimator.learnCompletion('r', item.events);
    gateway.items.delete(item);
    done += 1;
    if (nowMs <= item.dueMs) inTime += 1;
  };

  /** Advances a run or request by one step; returns whether it has ended. */
  const advance = (progress: Work, nowMs: number): boolean => {
    progress.leftMs -= STEP_MS;
    const { item } = progress;
    if (item === undefined) return progress.leftMs <= 0;
    while (progress.leftMs <= 0 && item.events < item.totalEvents) {
      item.events += 1;
      progress.leftMs += progress.eventMs;
    }
    if (item.events < item.totalEvents) return false;
    finishItem(item, nowMs);
    return true;
  };

  const advanceUpstream = (upstream: (typeof upstreams)[number], nowMs: number): void => {
    if (isLost(upstream.index, nowMs)) {
      const lost = [...upstream.queue, ...upstream.running];
      upstream.queue = [];
      upstream.running = [];
      lost.forEach((work) => {
        end(work, nowMs);
        const { item } = work;
        if (item === undefined) placeOnline(work.gateway, nowMs);
        else {
          lostRuns += 1;
          item.notBeforeMs = nowMs + 150 * (1 + random());
        }
      });
      return;
    }
    const ended = new Set(upstream.running.filter((work) => advance(work, nowMs)));
    ended.forEach((work) => end(work, nowMs));
    upstream.running = upstream.running.filter((work) => !ended.has(work));
    while (upstream.running.length < SLOTS && upstream.queue.length > 0) {
      const work = upstream.queue.shift() as Work;
      upstream.running.push(work);
      if (work.item === undefined) waits.push(nowMs - work.sentMs);
    }
  };

  const getTiming = ({ index, estimator }: GatewayState, item: Item, nowMs: number) => {
    const { dueMs, events, work } = item;
    const remainingMs = estimator.getRemainingMs(
      'r',
      events,
      isEarlier(index) ? undefined : work?.pace.getMsPerEvent(nowMs),
    );
    const hasBegun = isEarlier(index) ? {} : { hasBegun: events > 0 };
    return { item, dueMs, remainingMs, ...hasBegun };
  };

  const getRunning = (gateway: GatewayState, nowMs: number) =>
    [...gateway.items]
      .filter(({ work }) => work !== undefined)
      .map((item) => getTiming(gateway, item, nowMs));

  const groupByUpstream = (running: ReturnType<typeof getRunning>) => {
    const groups = new Map<string, typeof running>();
    running.forEach((timing) => {
      const id = `u${timing.item.work?.upstream}`;
      groups.set(id, [...(groups.get(id) ?? []), timing]);
    });
    return groups;
  };

  const getPacedRun = ({ estimator }: GatewayState, { pace }: Work, nowMs: number) => {
    const msPerEvent = pace.getMsPerEvent(nowMs);
    const meanMsPerEvent = estimator.getMsPerEvent('r');
    return msPerEvent === undefined || meanMsPerEvent === undefined
      ? undefined
      : { route: 'r', msPerEvent, meanMsPerEvent };
  };

  const preempt = (gateway: GatewayState, nowMs: number): void =>
    groupByUpstream(getRunning(gateway, nowMs)).forEach((own, id) => {
      const known = gateway.loads.getLoad(id, nowMs);
      if (getTotalLoad(known) <= SLOTS) return;
      const candidate = {
        id,
        slots: SLOTS,
        load: known,
        weight: 1,
        spareTokens: Infinity,
        isCold: false,
      };
      const peers = gateway.tracker.getRunning(id, nowMs);
      getItemsToPreempt({ own, peers }, candidate, nowMs).forEach(({ item: pending }) => {
        cutRuns += 1;
        if (pending.work !== undefined && pending.events === pending.work.eventsAtStart) {
          earlyCuts += 1;
        }
        if (pending.work === undefined) return;
        const run = getPacedRun(gateway, pending.work, nowMs);
        pending.isAfterSlowRun = run !== undefined && gateway.slowRunMoves.isSlow(run);
        cancel(pending.work, nowMs);
      });
    });

  const moveSlowRuns = (gateway: GatewayState, nowMs: number): void =>
    getRunning(gateway, nowMs).forEach(({ item: pending, remainingMs }) => {
      if (pending.work === undefined) return;
      pending.work.pace.observe(pending.events, nowMs);
      const run = getPacedRun(gateway, pending.work, nowMs);
      if (run === undefined) return;
      if (pending.isAfterSlowRun) gateway.slowRunMoves.learnNextRun(run);
      pending.isAfterSlowRun = false;
      if (pending.hasMoved || !gateway.slowRunMoves.shouldMove(run, remainingMs)) return;
      pending.hasMoved = true;
      pending.isAfterSlowRun = true;
      movedRuns += 1;
      cancel(pending.work, nowMs);
    });

  const tick = (gateway: GatewayState, nowMs: number): void => {
    if (!isEarlier(gateway.index)) moveSlowRuns(gateway, nowMs);
    const ready = [...gateway.items]
      .filter(({ work, notBeforeMs }) => work === undefined && notBeforeMs <= nowMs)
      .map((item) => getTiming(gateway, item, nowMs));
    if (ready.length > 0) {
      const peers = gateway.tracker.getWaiting('s', nowMs);
      getPlacedItemsToStart({ own: ready, peers }, getCandidates(gateway, nowMs), nowMs)
        .slice(0, MAX_STARTS_PER_TICK)
        .forEach(({ item: { item }, place }, started) => {
          const candidates = getCandidates(gateway, nowMs);
          const id = isEarlier(gateway.index)
            ? getEmptiest(candidates, random)
            : getUpstreamForItem(candidates, random, place - started);
          if (id !== undefined) send(gateway, Number(id.slice(1)), item, nowMs);
        });
    }
    const waiting = ready
      .filter(({ item }) => item.work === undefined)
      .sort((a, b) => compareUrgency(a, b, nowMs))
      .slice(0, MAX_REPORTED_ITEMS);
    gateway.tracker.setOwn({
      running: groupByUpstream(getRunning(gateway, nowMs)),
      waiting: new Map([['s', waiting]]),
    });
  };

  const report = (self: number, nowMs: number): void => {
    const gateway = gateways[self] as GatewayState;
    const intervalMs = gateway.hasChanged ? reportIntervalMs : REPORT_IDLE_MS;
    if (nowMs - gateway.lastReportMs < intervalMs) return;
    gateway.hasChanged = false;
    gateway.lastReportMs = nowMs;
    const loads = new Map(gateway.loads.getOwn());
    const state = gateway.tracker.getOwn();
    gateways.forEach(({ index }) => {
      if (index === self || random() < LOST_REPORTS_FRACTION) return;
      const { min, max } = REPORT_DELAY_MS;
      const content = { from: self, to: index, sentMs: nowMs, loads, items: state };
      const delaySteps = Math.ceil((min + random() * (max - min)) / STEP_MS);
      const atMs = nowMs + delaySteps * STEP_MS;
      const arriving = reports.get(atMs) ?? [];
      arriving.push(content);
      reports.set(atMs, arriving);
    });
  };

  const deliver = (nowMs: number): void => {
    const due = reports.get(nowMs) ?? [];
    reports.delete(nowMs);
    due.forEach(({ from, to, sentMs, loads, items: state }) => {
      const gateway = gateways[to] as GatewayState;
      if (sentMs < (gateway.lastReportOf[from] ?? 0)) return;
      gateway.lastReportOf[from] = sentMs;
      gateway.loads.updatePeer(`g${from}`, loads, nowMs);
      gateway.tracker.updatePeer(`g${from}`, state, nowMs);
    });
  };

  const countIdleSlots = (nowMs: number): void => {
    const usable = upstreams.filter(({ index }) => !isLost(index, nowMs));
    const waiting = gateways.reduce(
      (sum, { items: own }) => sum + [...own].filter(({ work }) => work === undefined).length,
      0,
    );
    const idle = usable.reduce((sum, { running }) => sum + SLOTS - running.length, 0);
    valleySlotMs += usable.length * SLOTS * STEP_MS;
    idleSlotMs += Math.min(idle, waiting) * STEP_MS;
  };

  for (let nowMs = 0; nowMs < REPLAY_MS; nowMs += STEP_MS) {
    deliver(nowMs);
    const isHigh = nowMs % (wave.lowMs + wave.highMs) >= wave.lowMs;
    const onlinePerMs =
      (load.onlineFraction * load.upstreams * SLOTS) / (ONLINE_MS * MEAN_SLOWNESS);
    const arrivals = getPoisson(
      onlinePerMs * STEP_MS * (isHigh ? wave.high : wave.low),
      loadRandom,
    );
    getRange(arrivals).forEach(() => placeOnline(Math.floor(loadRandom() * load.gateways), nowMs));
    const jobRate = load.itemsPerSecond / ITEMS_PER_JOB / 1000;
    if (nowMs < SUBMISSION_MS) {
      getRange(getPoisson(jobRate * STEP_MS, loadRandom)).forEach(() => submitJob(nowMs));
    }
    upstreams.forEach((upstream) => advanceUpstream(upstream, nowMs));
    if (!isHigh) countIdleSlots(nowMs);
    gateways.forEach((gateway) => {
      preempt(gateway, nowMs);
      if ((nowMs + gateway.index * STEP_MS) % TICK_MS === 0) tick(gateway, nowMs);
      report(gateway.index, nowMs);
    });
  }
  const sortedWaits = waits.sort((a, b) => a - b);
  return {
    items,
    late: items - inTime,
    done,
    cutRuns,
    lostRuns,
    movedRuns,
    earlyCuts,
    idleFraction: idleSlotMs / valleySlotMs,
    refused,
    meanWaitMs: waits.reduce((sum, ms) => sum + ms, 0) / Math.max(1, waits.length),
    p99WaitMs: sortedWaits[Math.floor(waits.length * 0.99)] ?? 0,
  };
};
