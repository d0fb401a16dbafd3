/** Measurement of the rate limiter under faults, beside baseline policies, and of its cost by size. */
import { loadHashing, newSeededRandom, type Random } from '@anvilpaddle/common';
import { newDistributedLimiter, newTokenBucket, type RateLimit } from '@anvilpaddle/decisions';
import { newLimitController } from 'anvilpaddle-app/controllers/limitController';
import {
  getOverAdmission,
  newLimitFleet,
  type ControllerFactory,
  type AdmissionRecord,
  type LimitFleet,
} from 'anvilpaddle-app/tests/kit/limitFleet';
import { newLeasedOwner, newStaticSplit, newStoredBucket } from './limitPolicies';

const SEEDS = [1, 2, 3, 4, 5];
const LIMIT: RateLimit = { rate: 40, burst: 80 };
const TEAMS = ['team-1', 'team-2', 'team-3', 'team-4'];
/** Requests as a fraction of each team's rate. */
const LOAD = 0.9;
const STEP_MS = 10;
const WARM_UP_MS = 10_000;
/** Time after the fault during which requests are sent and counted. */
const MEASURED_AFTER_FAULT_MS = 40_000;
/** Start of that time, whose refusals are also counted separately. */
const FIRST_PERIOD_MS = 10_000;
/** Time after which another entry receives most of the requests of a team. */
const SKEW_PERIOD_MS = 5000;
/** Time after which the platform's list no longer names a lost VM. */
const LIST_LAG_MS = 15_000;
const [A, B, C, D] = ['entry-1:9000', 'entry-2:9000', 'entry-3:9000', 'entry-4:9000'] as const;

const POLICIES: Readonly<Record<string, ControllerFactory>> = {
  'conserved shares': newLimitController,
  'static split': newStaticSplit,
  'home under a lease': newLeasedOwner,
  'table per request': newStoredBucket,
};

const FAULTS: Readonly<Record<string, (fleet: LimitFleet) => void>> = {
  'none, skew that shifts': () => undefined,
  'one VM lost': (fleet) => {
    fleet.kill(B);
    fleet.referenceClock.after(LIST_LAG_MS, () => fleet.listed.delete(B));
  },
  'one paused for 6 s': (fleet) => {
    fleet.pause(B);
    fleet.referenceClock.after(6000, () => fleet.resume(B));
  },
  'cut between two': (fleet) => fleet.cutLink(A, B),
  'store outage': (fleet) => fleet.setStoreDown(true),
  'outage, one lost, one added': (fleet) => {
    fleet.setStoreDown(true);
    fleet.kill(B);
    fleet.add();
  },
  'all restarted': (fleet) => [A, B, C, D].forEach(fleet.restart),
  'one stopped as planned': (fleet) => {
    void fleet.stop(C);
  },
};

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const getMean = (numbers: readonly number[]): number =>
  numbers.reduce((sum, number) => sum + number, 0) / numbers.length;

/**
 * Sends each team's requests at `LOAD` of its rate. Four in five go to one entry per team, which
 * changes every `SKEW_PERIOD_MS`; the others go to a random entry.
 */
const sendRequests = async (
  fleet: LimitFleet,
  random: Random,
  durationMs: number,
): Promise<void> => {
  const requestProbability = (LIMIT.rate * LOAD * STEP_MS) / 1000;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    const running = fleet.addresses().filter(fleet.isRunning);
    const preferredEntry = Math.floor(fleet.referenceClock.monotonic() / SKEW_PERIOD_MS);
    TEAMS.forEach((team, index) => {
      if (random() >= requestProbability) return;
      const entry = random() < 0.8 ? preferredEntry + index : Math.floor(random() * running.length);
      fleet.request(running[entry % running.length] ?? '', team);
    });
    await fleet.advance(STEP_MS);
  }
};

/** Requests that were refused although one token bucket for the whole fleet would have admitted them. */
const getWrongfulRefusals = (decisions: readonly AdmissionRecord[]): readonly AdmissionRecord[] =>
  TEAMS.flatMap((team) => {
    const fleetBucket = newTokenBucket(LIMIT, 0);
    return decisions.filter(
      (decision) =>
        decision.team === team &&
        fleetBucket.take(1, decision.decidedMs).admitted &&
        !decision.admission.admitted,
    );
  });

/** Result of one run under one fault. */
interface Outcome {
  /** Percentage of wrongful refusals in the first `FIRST_PERIOD_MS` after the fault. */
  readonly wrongfulPercentFirst: number;
  /** Percentage of wrongful refusals in the whole time after the fault. */
  readonly all: number;
  /** Seconds from the fault to the last wrongful refusal. */
  readonly lastWrongfulS: number;
  /** Highest over-admission of a team. */
  readonly overAdmission: number;
  /** Messages per second and entry. */
  readonly messages: number;
  /** Bytes of messages per second and entry. */
  readonly bytes: number;
  /** Calls to the table service per second and entry. */
  readonly storeCalls: number;
  /** Processor time per request in microseconds, the fake network included. */
  readonly microseconds: number;
}

const runOnce = async (
  newController: ControllerFactory,
  injectFault: (fleet: LimitFleet) => void,
  seed: number,
): Promise<Outcome> => {
  const fleet = newLimitFleet({ entries: 4, seed, rate: LIMIT, newController });
  const random = newSeededRandom(seed);
  await fleet.advance(WARM_UP_MS);
  await sendRequests(fleet, random, WARM_UP_MS);
  const faultMs = fleet.referenceClock.monotonic();
  const before = { ...fleet.traffic, ...fleet.tables.calls, cpu: process.cpuUsage() };
  injectFault(fleet);
  await sendRequests(fleet, random, MEASURED_AFTER_FAULT_MS);
  const cpu = process.cpuUsage(before.cpu);
  const after = fleet.decisions.filter(({ decidedMs }) => decidedMs >= faultMs);
  const wrongfulRefusals = getWrongfulRefusals(fleet.decisions).filter(
    ({ decidedMs }) => decidedMs >= faultMs,
  );
  const isInFirstPeriod = ({ decidedMs }: AdmissionRecord): boolean =>
    decidedMs < faultMs + FIRST_PERIOD_MS;
  const entrySeconds = (4 * MEASURED_AFTER_FAULT_MS) / 1000;
  const { reads, writes } = fleet.tables.calls;
  return {
    wrongfulPercentFirst:
      (100 * wrongfulRefusals.filter(isInFirstPeriod).length) /
      after.filter(isInFirstPeriod).length,
    all: (100 * wrongfulRefusals.length) / after.length,
    lastWrongfulS:
      (Math.max(faultMs, ...wrongfulRefusals.map(({ decidedMs }) => decidedMs)) - faultMs) / 1000,
    overAdmission: Math.max(
      ...TEAMS.map((team) =>
        getOverAdmission(
          fleet.decisions.filter((decision) => decision.team === team),
          LIMIT,
        ),
      ),
    ),
    messages: (fleet.traffic.messages - before.messages) / entrySeconds,
    bytes: (fleet.traffic.bytes - before.bytes) / entrySeconds,
    storeCalls: (reads + writes - before.reads - before.writes) / entrySeconds,
    microseconds: (cpu.user + cpu.system) / after.length,
  };
};

/** Prints the outcome of every policy under every fault. */
const comparePolicies = async (): Promise<void> => {
  print(
    `4 entries, 4 teams at ${LOAD * 100}% of rate ${LIMIT.rate}/s, burst ${LIMIT.burst}, ${SEEDS.length} seeds, ${MEASURED_AFTER_FAULT_MS / 1000} s after the fault`,
  );
  print(
    'fault | policy | wrongful % in 10 s: mean, worst | wrongful % in 40 s | last wrongful after s, worst | over-admitted, worst | messages/s an entry | bytes/s an entry | store calls/s an entry | us a request with the fake network',
  );
  for (const [fault, injectFault] of Object.entries(FAULTS)) {
    for (const [policy, newController] of Object.entries(POLICIES)) {
      const runs: Outcome[] = [];
      for (const seed of SEEDS) runs.push(await runOnce(newController, injectFault, seed));
      const getMeanOf = (get: (run: Outcome) => number): number => getMean(runs.map(get));
      const getWorst = (get: (run: Outcome) => number): number => Math.max(...runs.map(get));
      print(
        [
          fault,
          policy,
          `${getMeanOf(({ wrongfulPercentFirst }) => wrongfulPercentFirst).toFixed(2)}, ${getWorst(({ wrongfulPercentFirst }) => wrongfulPercentFirst).toFixed(2)}`,
          getMeanOf(({ all }) => all).toFixed(2),
          getWorst(({ lastWrongfulS }) => lastWrongfulS).toFixed(1),
          getWorst(({ overAdmission }) => overAdmission).toFixed(1),
          getMeanOf(({ messages }) => messages).toFixed(1),
          getMeanOf(({ bytes }) => bytes).toFixed(0),
          getMeanOf(({ storeCalls }) => storeCalls).toFixed(1),
          getMeanOf(({ microseconds }) => microseconds).toFixed(0),
        ].join(' | '),
      );
    }
  }
};

const FLEET_SIZES = [4, 16, 64];

/** Prints the messages per entry by number of entries, at a constant number of requests per entry. */
const measureScalingByEntries = async (): Promise<void> => {
  const requestsPerEntry = 8;
  print(
    `\nentries | teams | requests/s an entry | rounds | messages/s an entry | bytes/s an entry`,
  );
  for (const entries of FLEET_SIZES) {
    for (const teams of [2, 8, 32]) {
      const rate = { rate: (entries * requestsPerEntry) / teams / LOAD, burst: 100 };
      const fleet = newLimitFleet({
        entries,
        seed: 1,
        rate,
        newController: newLimitController,
        stepMs: 10,
      });
      // Entries join one after the other, so a large fleet needs this long until all have joined.
      await fleet.advance(60_000);
      const random = newSeededRandom(entries);
      const addresses = fleet.addresses();
      const before = { ...fleet.traffic };
      const seconds = 20;
      for (let step = 0; step < seconds * 100; step += 1) {
        for (let due = (entries * requestsPerEntry) / 100; random() < due; due -= 1) {
          const entry = addresses[Math.floor(random() * entries)] ?? '';
          fleet.request(entry, `team-${Math.floor(random() * teams)}`);
        }
        await fleet.advance(10);
      }
      const formatPerEntry = (total: number): string => (total / entries / seconds).toFixed(1);
      const refused = fleet.decisions.filter(({ admission }) => !admission.admitted).length;
      print(
        [
          entries,
          teams,
          formatPerEntry(fleet.decisions.length),
          `${refused} refused of ${fleet.decisions.length}`,
          formatPerEntry(fleet.traffic.messages - before.messages),
          formatPerEntry(fleet.traffic.bytes - before.bytes),
        ].join(' | '),
      );
    }
  }
};

/** Prints processor time and memory of the limiter alone, without network and store. */
const measureDecisionCost = (): void => {
  print('\nteams | members | us a decision | bytes a team');
  [
    [15, 4],
    [150, 240],
    [1500, 2400],
  ].forEach(([teams = 1, members = 1]) => {
    const addresses = Array.from({ length: members }, (_, index) => `10.0.${index}:9000`);
    const limiter = newDistributedLimiter(addresses[0] ?? '', 'life', () => ({
      rate: 50,
      burst: 100,
    }));
    limiter.adoptView({ epoch: 1, members: addresses, joining: [], holders: 4 }, true, 0);
    const names = Array.from({ length: teams }, (_, index) => `team-${index}`);
    names.forEach((team) => limiter.decide(team, new Set(), 1));
    global.gc?.();
    const emptyBytes = process.memoryUsage().heapUsed;
    const secondLimiter = newDistributedLimiter(addresses[0] ?? '', 'life', () => ({
      rate: 50,
      burst: 100,
    }));
    secondLimiter.adoptView({ epoch: 1, members: addresses, joining: [], holders: 4 }, true, 0);
    names.forEach((team) => secondLimiter.decide(team, new Set(), 1));
    global.gc?.();
    const bytes = (process.memoryUsage().heapUsed - emptyBytes) / teams;
    const rounds = 200_000;
    const startMs = performance.now();
    for (let round = 0; round < rounds; round += 1) {
      const team = names[round % teams] ?? '';
      limiter.recordArrival(team, 1000 + round);
      limiter.decide(team, new Set(), 1000 + round);
    }
    const microseconds = ((performance.now() - startMs) * 1000) / rounds;
    print(`${teams} | ${members} | ${microseconds.toFixed(2)} | ${bytes.toFixed(0)}`);
  });
};

/** Prints wrongful refusals of each policy under each fault, and the cost of the limiter by size. */
export const measureLimits = async (): Promise<void> => {
  await loadHashing();
  await comparePolicies();
  await measureScalingByEntries();
  measureDecisionCost();
};
