/** Gateways and upstreams in simulated time, with requests that share parts of their prompts. */
import type { Random } from '@anvilpaddle/common';
import { newPromptQuarantine, type PromptQuarantine } from '../promptQuarantine';
import { PART_STATE } from '../types';

const TICK_MS = 10;
const RESTART_MS = 3200;
const GOSSIP_MS = 50;
/** Time before the first harmful request. */
const HARM_STARTS_MS = 5000;

export const HARMFUL_PART = 'harmful';

/** What is simulated. */
export interface Scenario {
  readonly gateways: number;
  readonly upstreams: number;
  readonly durationMs: number;
  readonly soundPerSecond: number;
  readonly subjects: number;
  /** Time that an answer takes, and that of one in ten. */
  readonly answerMs: number;
  readonly longAnswerMs: number;
  readonly harmfulPerSecond: number;
  /** Time from a harmful request to the crash. */
  readonly crashDelayMs: number;
  /** Probability that a harmful request crashes its upstream. */
  readonly crashProbability: number;
  /** Crashes of single upstreams for other reasons, per second over all upstreams. */
  readonly otherCrashesPerSecond: number;
}

/** Outcome of a simulation. */
export interface SimulationResult {
  readonly harmfulArrivals: number;
  /** Harmful requests that arrived later than 3 s after the fifth crash with one present. */
  readonly lateArrivals: number;
  readonly crashes: number;
  /** Sound requests that were refused by the quarantine, and all sound requests. */
  readonly soundRefused: number;
  readonly soundSent: number;
}

interface Run {
  readonly gateway: PromptQuarantine;
  readonly parts: readonly string[];
  readonly startedMs: number;
  /** End of the answer, if nothing crashes. */
  readonly endsAtMs: number;
  readonly crashesAtMs: number;
}

interface SimulatedUpstream {
  incarnation: number;
  upAtMs: number;
  runs: Run[];
}

/** Time within which gateways must know, and crashes that are free. */
const CONTACT_MS = 3000;
const FREE_CRASHES = 5;

/** Runs a scenario; equal random numbers give equal results. */
export const simulate = (scenario: Scenario, random: Random): SimulationResult => {
  const gateways = Array.from({ length: scenario.gateways }, () => newPromptQuarantine());
  const upstreams: SimulatedUpstream[] = Array.from({ length: scenario.upstreams }, () => ({
    incarnation: 0,
    upAtMs: 0,
    runs: [],
  }));
  const harmfulCrashesMs: number[] = [];
  const result = { harmfulArrivals: 0, lateArrivals: 0, crashes: 0, soundRefused: 0, soundSent: 0 };

  const pick = <T>(items: readonly T[]): T | undefined =>
    items[Math.floor(random() * items.length)];

  const crash = (upstream: SimulatedUpstream, nowMs: number): void => {
    const name = `${upstreams.indexOf(upstream)}/${upstream.incarnation}`;
    const concurrency = upstream.runs.length;
    gateways.forEach((gateway) =>
      gateway.recordCrash(
        name,
        upstream.runs
          .filter((run) => run.gateway === gateway)
          .map(({ parts, startedMs }) => ({
            promptParts: parts,
            crash: { atMs: nowMs, runMs: nowMs - startedMs, concurrency },
          })),
      ),
    );
    result.crashes += 1;
    if (upstream.runs.some(({ parts }) => parts.includes(HARMFUL_PART))) {
      harmfulCrashesMs.push(nowMs);
    }
    Object.assign(upstream, {
      incarnation: upstream.incarnation + 1,
      upAtMs: nowMs + RESTART_MS,
      runs: [],
    });
  };

  const send = (isHarmful: boolean, nowMs: number): void => {
    const subject = `subject-${Math.floor(random() ** 2 * scenario.subjects)}`;
    const isLong = random() < 0.1;
    const endsAtMs = nowMs + (isLong ? scenario.longAnswerMs : scenario.answerMs);
    const soundParts = ['system', isLong ? `long-${subject}` : subject];
    const parts = isHarmful ? [...soundParts, HARMFUL_PART] : soundParts;
    const gateway = pick(gateways);
    const upstream = pick(upstreams.filter(({ upAtMs }) => upAtMs <= nowMs));
    if (!isHarmful) result.soundSent += 1;
    if (gateway === undefined || upstream === undefined) return;
    if (gateway.assess(parts, nowMs).state === PART_STATE.quarantined) {
      if (!isHarmful) result.soundRefused += 1;
      return;
    }
    const willCrash = isHarmful && random() < scenario.crashProbability;
    const crashesAtMs = willCrash ? nowMs + scenario.crashDelayMs : Infinity;
    upstream.runs.push({ gateway, parts, startedMs: nowMs, endsAtMs, crashesAtMs });
    if (!isHarmful) return;
    result.harmfulArrivals += 1;
    const knownByMs = (harmfulCrashesMs[FREE_CRASHES - 1] ?? Infinity) + CONTACT_MS;
    if (nowMs > knownByMs) result.lateArrivals += 1;
  };

  const advance = (upstream: SimulatedUpstream, nowMs: number): void => {
    const isEnded = ({ endsAtMs, crashesAtMs }: Run): boolean =>
      crashesAtMs === Infinity && endsAtMs <= nowMs;
    upstream.runs
      .filter(isEnded)
      .forEach(({ gateway, parts, startedMs }) =>
        gateway.recordSurvival(parts, nowMs - startedMs, nowMs),
      );
    Object.assign(upstream, { runs: upstream.runs.filter((run) => !isEnded(run)) });
    const isCrashing = upstream.runs.some(({ crashesAtMs }) => crashesAtMs <= nowMs);
    const otherRate = (scenario.otherCrashesPerSecond * TICK_MS) / 1000 / scenario.upstreams;
    if (isCrashing || (upstream.upAtMs <= nowMs && random() < otherRate)) crash(upstream, nowMs);
  };

  const gossip = (nowMs: number): void =>
    gateways.forEach((sender, index) => {
      const reports = sender.getReports(nowMs);
      gateways
        .filter((receiver) => receiver !== sender)
        .forEach((receiver) => receiver.updatePeer(`gateway-${index}`, reports, nowMs));
    });

  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += TICK_MS) {
    if (random() < (scenario.soundPerSecond * TICK_MS) / 1000) send(false, nowMs);
    const isHarmfulDue = random() < (scenario.harmfulPerSecond * TICK_MS) / 1000;
    if (nowMs >= HARM_STARTS_MS && isHarmfulDue) send(true, nowMs);
    upstreams.forEach((upstream) => advance(upstream, nowMs));
    if (nowMs % GOSSIP_MS === 0) gossip(nowMs);
  }
  return result;
};
