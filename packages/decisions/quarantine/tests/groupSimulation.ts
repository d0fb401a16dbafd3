/** Gateways and upstreams in simulated time, with harmful requests in groups and power cuts of upstreams. */
import type { Random } from '@anvilpaddle/common';
import { getIsolatedCandidates } from '../isolation';
import { newPromptQuarantine, type PromptQuarantine } from '../promptQuarantine';
import { PART_STATE, type QuarantineChange } from '../types';

const TICK_MS = 10;
const RESTART_MS = 2500;
const GOSSIP_MS = 100;
/** Time until a gateway knows a crash, at least, and how much it varies. */
const DETECTION_MS = 20;
const DETECTION_JITTER_MS = 20;
const CRASH_DELAY_MS = 20;
const CONTACT_MS = 3000;
const FREE_CRASHES = 5;
/** Time from the last crash to the trial of a part, of which there is one within the simulated time. */
const TRIAL_DELAY_MS = 3000;

export const HARMFUL_PART = 'harmful';

/** What is simulated; all times in milliseconds. */
export interface GroupScenario {
  readonly gateways: number;
  readonly upstreams: number;
  readonly durationMs: number;
  readonly soundPerSecond: number;
  readonly subjects: number;
  readonly answerMs: number;
  /** Times of the groups of harmful requests. */
  readonly groupsMs: readonly number[];
  readonly groupSize: number;
  /** Times at which upstreams lose power, and how many do. */
  readonly cutsMs: readonly number[];
  readonly cutSize: number;
  /** Sound requests with a new part that come just before each cut. */
  readonly burstSize: number;
}

/** Outcome of a simulation. */
export interface GroupResult {
  readonly crashes: number;
  /** Harmful requests that reached upstreams later than 3 s after the fifth crash. */
  readonly lateArrivals: number;
  readonly soundSent: number;
  readonly soundRefused: number;
  /** Sound requests that were refused later than a trial may release their part. */
  readonly soundRefusedForLong: number;
}

interface Run {
  readonly gateway: PromptQuarantine;
  readonly parts: readonly string[];
  readonly startedMs: number;
  readonly endsAtMs: number;
}

interface SimulatedUpstream {
  readonly id: string;
  incarnation: number;
  upAtMs: number;
  runs: Run[];
}

/** Runs a scenario; equal random numbers give equal results. */
export const simulateGroups = (
  scenario: GroupScenario,
  random: Random,
  onChange?: (change: QuarantineChange) => void,
): GroupResult => {
  const gateways = Array.from({ length: scenario.gateways }, () => newPromptQuarantine(onChange));
  const upstreams: SimulatedUpstream[] = Array.from({ length: scenario.upstreams }, (_, index) => ({
    id: `u${index}`,
    incarnation: 0,
    upAtMs: 0,
    runs: [],
  }));
  /** What is to happen, by time. */
  const actions: { readonly atMs: number; run(nowMs: number): void }[] = [];
  const harmfulCrashesMs: number[] = [];
  const triedParts = new Set<string>();
  const result = {
    crashes: 0,
    lateArrivals: 0,
    soundSent: 0,
    soundRefused: 0,
    soundRefusedForLong: 0,
  };

  const crash = (upstream: SimulatedUpstream, nowMs: number): void => {
    if (upstream.upAtMs > nowMs) return;
    const { runs } = upstream;
    const name = `${upstream.id}/${upstream.incarnation}`;
    gateways.forEach((gateway) => {
      const lost = runs.filter((run) => run.gateway === gateway);
      if (lost.length === 0) return;
      const delayMs = DETECTION_MS + random() * DETECTION_JITTER_MS;
      actions.push({
        atMs: nowMs + delayMs,
        run: (atMs) =>
          gateway.recordCrash(
            name,
            lost.map(({ parts, startedMs }) => ({
              promptParts: parts,
              crash: { atMs, runMs: nowMs - startedMs, concurrency: runs.length },
            })),
          ),
      });
    });
    result.crashes += 1;
    if (runs.some(({ parts }) => parts.includes(HARMFUL_PART))) harmfulCrashesMs.push(nowMs);
    Object.assign(upstream, {
      incarnation: upstream.incarnation + 1,
      upAtMs: nowMs + RESTART_MS,
      runs: [],
    });
  };

  const isLate = (nowMs: number): boolean =>
    nowMs > (harmfulCrashesMs[FREE_CRASHES - 1] ?? Infinity) + CONTACT_MS;

  /** Whether a request with these parts may go to an upstream now. */
  const isAdmitted = (gateway: PromptQuarantine, parts: readonly string[], nowMs: number) => {
    const assessment = gateway.assess(parts, nowMs);
    if (assessment.state !== PART_STATE.quarantined) return true;
    const { part, ageMs, isTriable } = assessment;
    if (!isTriable || ageMs < TRIAL_DELAY_MS || triedParts.has(part)) return false;
    triedParts.add(part);
    return true;
  };

  const send = (parts: readonly string[], nowMs: number): void => {
    const isHarmful = parts.includes(HARMFUL_PART);
    const gateway = gateways[Math.floor(random() * gateways.length)];
    if (!isHarmful) result.soundSent += 1;
    if (gateway === undefined) return;
    if (!isAdmitted(gateway, parts, nowMs)) {
      if (isHarmful) return;
      result.soundRefused += 1;
      const lastCutMs = Math.max(...scenario.cutsMs.filter((atMs) => atMs <= nowMs));
      if (nowMs > lastCutMs + 2 * TRIAL_DELAY_MS) result.soundRefusedForLong += 1;
      return;
    }
    const up = upstreams
      .filter(({ upAtMs }) => upAtMs <= nowMs)
      .map((upstream) => ({ id: upstream.id, weight: 1, upstream }));
    const assessment = gateway.assess(parts, nowMs);
    const candidates =
      assessment.state === PART_STATE.suspect ? getIsolatedCandidates(assessment.part, up) : up;
    // The less loaded of two.
    const [first, second] = [random(), random()].map(
      (share) => candidates[Math.floor(share * candidates.length)]?.upstream,
    );
    const upstream = (first?.runs.length ?? 0) <= (second?.runs.length ?? 0) ? first : second;
    if (upstream === undefined) return;
    if (isHarmful && isLate(nowMs)) result.lateArrivals += 1;
    upstream.runs.push({
      gateway,
      parts,
      startedMs: nowMs,
      endsAtMs: isHarmful ? Infinity : nowMs + scenario.answerMs,
    });
    const { incarnation } = upstream;
    if (!isHarmful) return;
    actions.push({
      atMs: nowMs + CRASH_DELAY_MS,
      run: (atMs) => {
        if (upstream.incarnation === incarnation) crash(upstream, atMs);
      },
    });
  };

  const endRuns = (upstream: SimulatedUpstream, nowMs: number): void => {
    const ended = upstream.runs.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    Object.assign(upstream, { runs: upstream.runs.filter((run) => !ended.includes(run)) });
    ended.forEach(({ gateway, parts, startedMs }) =>
      gateway.recordSurvival(parts, nowMs - startedMs, nowMs),
    );
  };

  const gossip = (nowMs: number): void =>
    gateways.forEach((sender, index) => {
      const reports = sender.getReports(nowMs);
      gateways
        .filter((receiver) => receiver !== sender)
        .forEach((receiver) => receiver.updatePeer(`gateway-${index}`, reports, nowMs));
    });

  const getSoundParts = (): string[] => [
    'system',
    `subject-${Math.floor(random() * scenario.subjects)}`,
  ];

  scenario.groupsMs.forEach((atMs) =>
    Array.from({ length: scenario.groupSize }, () =>
      actions.push({ atMs, run: (nowMs) => send([...getSoundParts(), HARMFUL_PART], nowMs) }),
    ),
  );
  scenario.cutsMs.forEach((atMs, cut) => {
    const part = `document-${cut}`;
    const sendBurst = (nowMs: number): void =>
      Array.from({ length: scenario.burstSize }, () => part).forEach((each) =>
        send([...getSoundParts(), each], nowMs),
      );
    // The document is asked about again later.
    [-50, 3500, 6500, 8500].forEach((delayMs) =>
      actions.push({ atMs: atMs + delayMs, run: sendBurst }),
    );
    actions.push({
      atMs,
      run: (nowMs) => {
        const offset = Math.floor(random() * upstreams.length);
        Array.from({ length: scenario.cutSize }, (_, index) => (offset + index) % upstreams.length)
          .flatMap((index) => upstreams[index] ?? [])
          .forEach((upstream) => crash(upstream, nowMs));
      },
    });
  });
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    if (random() < (scenario.soundPerSecond * TICK_MS) / 1000) send(getSoundParts(), nowMs);
    actions
      .filter(({ atMs }) => atMs >= nowMs && atMs < nowMs + TICK_MS)
      .forEach(({ run }) => run(nowMs));
    upstreams.forEach((upstream) => endRuns(upstream, nowMs));
    if (nowMs % GOSSIP_MS === 0) gossip(nowMs);
  }
  return result;
};
