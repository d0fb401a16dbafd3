/** Distributed rate limits of real controllers under random faults and without faults. */
import fc from 'fast-check';
import { loadHashing, newSeededRandom } from '@anvilpaddle/common';
import { newTokenBucket, type RateLimit } from '@anvilpaddle/decisions';
import { newLimitController } from '../controllers/limitController';
import {
  getOverAdmission,
  newLimitFleet,
  type LimitFleet,
  type LimitFleetOptions,
} from './kit/limitFleet';

const TEAM = 'utility-a';
const TOLERANCE = 1e-6;
/** Time after which the first entries are holders and their shares are full. */
const WARM_UP_MS = 6000;

const newFleet = (
  options: Partial<LimitFleetOptions> & { rate: RateLimit; seed: number },
): LimitFleet => newLimitFleet({ entries: 4, newController: newLimitController, ...options });

/** Sends requests at random times; `pickEntry` distributes them over the entries. */
const sendSteadily = async (
  fleet: LimitFleet,
  seed: number,
  durationMs: number,
  perSecond: number,
  pickEntry: (random: () => number) => number,
): Promise<void> => {
  const random = newSeededRandom(seed);
  const stepMs = 10;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
    for (let due = (perSecond * stepMs) / 1000; random() < due; due -= 1) {
      const running = fleet.addresses().filter(fleet.isRunning);
      const entry = running[Math.min(pickEntry(random), running.length - 1)];
      if (entry !== undefined) fleet.request(entry, TEAM);
    }
    await fleet.advance(stepMs);
  }
};

/** Sends bursts of simultaneous requests to all entries. */
const sendBursts = async (
  fleet: LimitFleet,
  seed: number,
  durationMs: number,
  size: number,
): Promise<void> => {
  const random = newSeededRandom(seed);
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 0) {
    const running = fleet.addresses().filter(fleet.isRunning);
    for (let sent = 0; sent < size && running.length > 0; sent += 1) {
      fleet.request(running[sent % running.length] ?? '', TEAM);
    }
    const gapMs = 20 + Math.floor(random() * 200);
    await fleet.advance(gapMs);
    elapsedMs += gapMs;
  }
};

const FAULTS = [
  'kill',
  'killAndUnlist',
  'restart',
  'pause',
  'longPause',
  'cut',
  'heal',
  'storeDown',
  'storeUp',
  'add',
  'stop',
  'lossy',
  'rate',
  'restartAll',
] as const;

/** Fault to inject, and the load for a time after it. */
interface PlannedFault {
  readonly kind: (typeof FAULTS)[number];
  /** Affected entry and its peer, as indexes modulo the number of entries. */
  readonly entry: number;
  readonly other: number;
  /** Time from this fault to the next one. */
  readonly afterMs: number;
  readonly load: 'steady' | 'spikes' | 'quiet';
}

/** Time after which a killed entry is missing from the VM list. */
const VM_LIST_LAG_MS = 1500;
/** Slow and fast refill, with small and large bursts. */
const LIMITS: readonly RateLimit[] = [
  { rate: 40, burst: 30 },
  { rate: 200, burst: 12 },
  { rate: 20, burst: 6 },
];

const injectFault = (
  fleet: LimitFleet,
  fullLimit: RateLimit,
  { kind, entry, other }: PlannedFault,
): void => {
  const addresses = fleet.addresses().filter(fleet.isUp);
  const target = addresses[entry % Math.max(1, addresses.length)];
  const second = addresses[other % Math.max(1, addresses.length)];
  if (target === undefined || second === undefined) {
    fleet.add();
    return;
  }
  const { referenceClock, faults } = fleet;
  const actions: Readonly<Record<PlannedFault['kind'], () => void>> = {
    kill: () => fleet.kill(target),
    killAndUnlist: () => {
      fleet.kill(target);
      referenceClock.after(VM_LIST_LAG_MS, () => fleet.listed.delete(target));
    },
    restart: () => fleet.restart(target),
    pause: () => {
      fleet.pause(target);
      referenceClock.after(700, () => fleet.resume(target));
    },
    longPause: () => {
      fleet.pause(target);
      referenceClock.after(6000, () => fleet.resume(target));
    },
    cut: () => fleet.cutLink(target, second),
    heal: () => {
      fleet.restoreLinks();
      faults.lossRate = 0;
      faults.duplicateRate = 0;
    },
    storeDown: () => {
      faults.isStoreDown = true;
    },
    storeUp: () => {
      faults.isStoreDown = false;
    },
    add: () => {
      if (addresses.length < 7) fleet.add();
    },
    stop: () => {
      void fleet.stop(target);
    },
    lossy: () => {
      faults.lossRate = 0.2;
      faults.duplicateRate = 0.3;
      faults.lostResponseRate = 0.3;
      faults.maxDelayMs = 120;
    },
    rate: () => {
      const smaller = { rate: fullLimit.rate / 3, burst: fullLimit.burst / 2 };
      fleet.rateLimits.set(target, fleet.rateLimits.has(target) ? fullLimit : smaller);
    },
    restartAll: () => addresses.forEach(fleet.restart),
  };
  actions[kind]();
};

const getAdmitted = (fleet: LimitFleet): number =>
  fleet.decisions.filter(({ admission }) => admission.admitted).length;

describe('limits of real controllers on a fake network', () => {
  beforeAll(loadHashing);

  it('never admits more than burst + rate x window under any faults', async () => {
    const plannedFault = fc.record({
      kind: fc.constantFrom(...FAULTS),
      entry: fc.nat(9),
      other: fc.nat(9),
      afterMs: fc.integer({ min: 0, max: 1500 }),
      load: fc.constantFrom('steady', 'spikes', 'quiet'),
    });
    const plan = fc.record({
      seed: fc.nat(1_000_000),
      limit: fc.constantFrom(...LIMITS),
      entries: fc.integer({ min: 1, max: 6 }),
      skew: fc.constantFrom(1, 8),
      faults: fc.array(plannedFault, { minLength: 3, maxLength: 12 }),
    });
    const property = fc.asyncProperty(plan, async ({ seed, limit, entries, skew, faults }) => {
      const fleet = newFleet({ entries, seed, rate: limit, minClockSpeed: 0.9, stepMs: 5 });
      let maxTokens = 0;
      fleet.onStep = () => {
        // Reading the tokens brings the shares up to date, so that half of the runs do not read
        // them.
        if (seed % 2 === 0) return;
        maxTokens = Math.max(maxTokens, fleet.tokens(TEAM));
      };
      const pick = (random: () => number): number => Math.floor(random() ** skew * 7);
      const loads: Readonly<Record<PlannedFault['load'], (durationMs: number) => Promise<void>>> = {
        quiet: (durationMs) => fleet.advance(durationMs),
        spikes: (durationMs) => sendBursts(fleet, seed, durationMs, limit.burst * 3),
        steady: (durationMs) => sendSteadily(fleet, seed, durationMs, limit.rate * 1.5, pick),
      };
      await loads.steady(1500);
      for (const fault of faults) {
        injectFault(fleet, limit, fault);
        await loads[fault.load](fault.afterMs);
      }
      await loads.spikes(1500);
      expect(getOverAdmission(fleet.decisions, limit)).toBeLessThanOrEqual(TOLERANCE);
      expect(maxTokens).toBeLessThanOrEqual(limit.burst + TOLERANCE);
    });
    await fc.assert(property, { seed: 20_260_801, numRuns: 60 });
    // Regression: the leave of a stopped process arrived after its successor had read the view.
    await fc.assert(property, { seed: 32, path: '799', numRuns: 1 });
  });

  it.each([
    ['even traffic', () => (random: () => number) => Math.floor(random() * 4)],
    ['all requests at one entry', () => () => 2],
    [
      'skew that changes every second',
      (fleet: LimitFleet) => () => Math.floor(fleet.referenceClock.monotonic() / 1000) % 4,
    ],
  ])('refuses nothing at nine tenths of the rate without faults: %s', async (_name, newPick) => {
    for (const seed of [11, 12, 13]) {
      const rate = { rate: 40, burst: 40 };
      const fleet = newFleet({ seed, rate });
      await fleet.advance(WARM_UP_MS);
      await sendSteadily(fleet, seed, 20_000, rate.rate * 0.9, newPick(fleet));
      await fleet.advance(1000);
      const singleBucket = newTokenBucket(rate, 0);
      const wrongful = fleet.decisions.filter(
        ({ admission, decidedMs }) =>
          singleBucket.take(1, decidedMs).admitted && !admission.admitted,
      );
      expect({ seed, wrongful }).toEqual({ seed, wrongful: [] });
      expect(getAdmitted(fleet)).toBeGreaterThan(500);
    }
  });
});
