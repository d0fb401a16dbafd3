import { loadHashing, newSeededRandom, type Random } from '@anvilpaddle/common';
import { newDistributedLimiter, newTokenBucket, type RateLimit } from '@anvilpaddle/decisions';
import { newLimitController } from 'anvilpaddle-app/controllers/limitController';
import {
  getOverAdmission,
  newLimitFleet,
  type ControllerFactory,
  type Decision,
  type LimitFleet,
} from 'anvilpaddle-app/tests/kit/limitFleet';
import { newLeasedOwner, newStaticSplit, newStoredBucket } from './limitPolicies';

const SEEDS = [1, 2, 3, 4, 5];
const LIMIT: RateLimit = { rate: 40, burst: 80 };
const TEAMS = ['team-1', 'team-2', 'team-3', 'team-4'];
const LOAD = 0.9;
const STEP_MS = 10;
const WARM_UP_MS = 10_000;
const AFTER_MS = 40_000;
const WATCHED_MS = 10_000;
/** Time for which one entry receives most of the requests. */
const SKEW_MS = 5000;
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
    fleet.world.after(LIST_LAG_MS, () => fleet.listed.delete(B));
  },
  'one paused for 6 s': (fleet) => {
    fleet.pause(B);
    fleet.world.after(6000, () => fleet.resume(B));
  },
  'cut between two': (fleet) => fleet.cut(A, B),
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

/** Sends requests of every team at a part of its rate; most of them to one entry, then another. */
const drive = async (fleet: LimitFleet, random: Random, durationMs: number): Promise<void> => {
  const perStep = (LIMIT.rate * LOAD * STEP_MS) / 1000;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    const running = fleet.addresses().filter(fleet.isRunning);
    const favourite = Math.floor(fleet.world.monotonic() / SKEW_MS);
    TEAMS.forEach((team, index) => {
      if (random() >= perStep) return;
      const entry = random() < 0.8 ? favourite + index : Math.floor(random() * running.length);
      fleet.request(running[entry % running.length] ?? '', team);
    });
    await fleet.advance(STEP_MS);
  }
};

/** Requests refused although a bucket for the whole fleet would have admitted them. */
const getWrongful = (decisions: readonly Decision[]): readonly Decision[] =>
  TEAMS.flatMap((team) => {
    const oracle = newTokenBucket(LIMIT, 0);
    return decisions.filter(
      (decision) =>
        decision.team === team &&
        oracle.take(1, decision.decidedMs).admitted &&
        !decision.admission.admitted,
    );
  });

interface Outcome {
  readonly soon: number;
  readonly all: number;
  readonly recoverS: number;
  readonly over: number;
  readonly messages: number;
  readonly bytes: number;
  readonly storeCalls: number;
  readonly micros: number;
}

const runOnce = async (
  newController: ControllerFactory,
  strike: (fleet: LimitFleet) => void,
  seed: number,
): Promise<Outcome> => {
  const fleet = newLimitFleet({ entries: 4, seed, rate: LIMIT, newController });
  const random = newSeededRandom(seed);
  await fleet.advance(WARM_UP_MS);
  await drive(fleet, random, WARM_UP_MS);
  const faultMs = fleet.world.monotonic();
  const before = { ...fleet.traffic, ...fleet.tables.calls, cpu: process.cpuUsage() };
  strike(fleet);
  await drive(fleet, random, AFTER_MS);
  const cpu = process.cpuUsage(before.cpu);
  const after = fleet.decisions.filter(({ decidedMs }) => decidedMs >= faultMs);
  const wrongful = getWrongful(fleet.decisions).filter(({ decidedMs }) => decidedMs >= faultMs);
  const isSoon = ({ decidedMs }: Decision): boolean => decidedMs < faultMs + WATCHED_MS;
  const entrySeconds = (4 * AFTER_MS) / 1000;
  const { reads, writes } = fleet.tables.calls;
  return {
    soon: (100 * wrongful.filter(isSoon).length) / after.filter(isSoon).length,
    all: (100 * wrongful.length) / after.length,
    recoverS: (Math.max(faultMs, ...wrongful.map(({ decidedMs }) => decidedMs)) - faultMs) / 1000,
    over: Math.max(
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
    micros: (cpu.user + cpu.system) / after.length,
  };
};

const comparePolicies = async (): Promise<void> => {
  print(
    `4 entries, 4 teams at ${LOAD * 100}% of rate ${LIMIT.rate}/s, burst ${LIMIT.burst}, ${SEEDS.length} seeds, ${AFTER_MS / 1000} s after the fault`,
  );
  print(
    'fault | policy | wrongful % in 10 s: mean, worst | wrongful % in 40 s | last wrongful after s, worst | over-admitted, worst | messages/s an entry | bytes/s an entry | store calls/s an entry | us a request with the fake network',
  );
  for (const [fault, strike] of Object.entries(FAULTS)) {
    for (const [policy, newController] of Object.entries(POLICIES)) {
      const runs: Outcome[] = [];
      for (const seed of SEEDS) runs.push(await runOnce(newController, strike, seed));
      const mean = (get: (run: Outcome) => number): number => getMean(runs.map(get));
      const worst = (get: (run: Outcome) => number): number => Math.max(...runs.map(get));
      print(
        [
          fault,
          policy,
          `${mean(({ soon }) => soon).toFixed(2)}, ${worst(({ soon }) => soon).toFixed(2)}`,
          mean(({ all }) => all).toFixed(2),
          worst(({ recoverS }) => recoverS).toFixed(1),
          worst(({ over }) => over).toFixed(1),
          mean(({ messages }) => messages).toFixed(1),
          mean(({ bytes }) => bytes).toFixed(0),
          mean(({ storeCalls }) => storeCalls).toFixed(1),
          mean(({ micros }) => micros).toFixed(0),
        ].join(' | '),
      );
    }
  }
};

const FLEETS = [4, 16, 64];

/** Messages for the same requests an entry serves, at fleets of several sizes. */
const measureFleetSlope = async (): Promise<void> => {
  const perEntry = 8;
  print(
    `\nentries | teams | requests/s an entry | rounds | messages/s an entry | bytes/s an entry`,
  );
  for (const entries of FLEETS) {
    for (const teams of [2, 8, 32]) {
      const rate = { rate: (entries * perEntry) / teams / LOAD, burst: 100 };
      const fleet = newLimitFleet({
        entries,
        seed: 1,
        rate,
        newController: newLimitController,
        stepMs: 10,
      });
      // With many entries the joins take their turns.
      await fleet.advance(60_000);
      const random = newSeededRandom(entries);
      const addresses = fleet.addresses();
      const before = { ...fleet.traffic };
      const seconds = 20;
      for (let step = 0; step < seconds * 100; step += 1) {
        for (let due = (entries * perEntry) / 100; random() < due; due -= 1) {
          const entry = addresses[Math.floor(random() * entries)] ?? '';
          fleet.request(entry, `team-${Math.floor(random() * teams)}`);
        }
        await fleet.advance(10);
      }
      const per = (total: number): string => (total / entries / seconds).toFixed(1);
      const refused = fleet.decisions.filter(({ admission }) => !admission.admitted).length;
      print(
        [
          entries,
          teams,
          per(fleet.decisions.length),
          `${refused} refused of ${fleet.decisions.length}`,
          per(fleet.traffic.messages - before.messages),
          per(fleet.traffic.bytes - before.bytes),
        ].join(' | '),
      );
    }
  }
};

/** Processor time and memory of the decisions alone. */
const measureDecisionSlope = (): void => {
  print('\nteams | members | us a decision | bytes a team');
  [
    [15, 4],
    [150, 240],
    [1500, 2400],
  ].forEach(([teams = 1, members = 1]) => {
    const addresses = Array.from({ length: members }, (_, index) => `10.0.${index}:9000`);
    const node = newDistributedLimiter(addresses[0] ?? '', 'life', () => ({
      rate: 50,
      burst: 100,
    }));
    node.adoptView({ epoch: 1, members: addresses, joining: [], holders: 4 }, true, 0);
    const names = Array.from({ length: teams }, (_, index) => `team-${index}`);
    names.forEach((team) => node.decide(team, new Set(), 1));
    global.gc?.();
    const emptyBytes = process.memoryUsage().heapUsed;
    const other = newDistributedLimiter(addresses[0] ?? '', 'life', () => ({
      rate: 50,
      burst: 100,
    }));
    other.adoptView({ epoch: 1, members: addresses, joining: [], holders: 4 }, true, 0);
    names.forEach((team) => other.decide(team, new Set(), 1));
    global.gc?.();
    const bytes = (process.memoryUsage().heapUsed - emptyBytes) / teams;
    const rounds = 200_000;
    const startMs = performance.now();
    for (let round = 0; round < rounds; round += 1) {
      const team = names[round % teams] ?? '';
      node.recordArrival(team, 1000 + round);
      node.decide(team, new Set(), 1000 + round);
    }
    const micros = ((performance.now() - startMs) * 1000) / rounds;
    print(`${teams} | ${members} | ${micros.toFixed(2)} | ${bytes.toFixed(0)}`);
  });
};

/** Prints what each policy refuses wrongly under each fault, and the slopes of the shares. */
export const measureLimits = async (): Promise<void> => {
  await loadHashing();
  await comparePolicies();
  await measureFleetSlope();
  measureDecisionSlope();
};
