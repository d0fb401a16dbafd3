/** Distributed rate limits when a fault occurs at the worst moment. */
import { loadHashing } from '@anvilpaddle/common';
import type { RateLimit } from '@anvilpaddle/decisions';
import { newLimitController } from '../controllers/limitController';
import { getOverAdmission, newLimitFleet, type LimitFleet } from './kit/limitFleet';

const TEAM = 'utility-a';
const LIMIT: RateLimit = { rate: 200, burst: 12 };
const TOLERANCE = 1e-6;
const [A, B, C] = ['entry-1:9000', 'entry-2:9000', 'entry-3:9000'] as const;
/** Time after which every entry is a member and its share is full. */
const WARM_UP_MS = 8000;

const send = (fleet: LimitFleet, entries: readonly string[], count: number): void => {
  for (let sent = 0; sent < count; sent += 1) {
    entries.forEach((entry) => fleet.request(entry, TEAM));
  }
};

/** Sends requests to one entry until it has borrowed tokens that it does not need yet. */
const borrowAhead = async (fleet: LimitFleet, entry: string): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 6) {
    fleet.request(entry, TEAM);
    await fleet.advance(6);
  }
};

/**
 * Each case injects a fault at the moment at which an incorrect limiter admits too many requests:
 * while shares move between entries, or while a process does not know that it has lost its share or
 * that its loans have expired.
 */
const CASES: readonly {
  readonly name: string;
  readonly entries: number;
  readonly injectFault: (fleet: LimitFleet) => Promise<void>;
}[] = [
  {
    name: 'a paused member resumes after another entry has asked to join',
    entries: 2,
    injectFault: async (fleet) => {
      fleet.pause(A);
      fleet.add();
      await fleet.advance(4000);
      fleet.resume(A);
      send(fleet, [A, B, C], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a member that has reduced its share is paused while another entry joins',
    entries: 2,
    injectFault: async (fleet) => {
      fleet.add();
      const isSettled = (): boolean =>
        JSON.stringify(fleet.tables.get('limits', 'view')?.value).includes('"joining":[]');
      const waitUntilSettled = async (goal: boolean): Promise<void> => {
        for (let step = 0; step < 2000 && isSettled() !== goal; step += 1) await fleet.advance(2);
        expect(isSettled()).toBe(goal);
      };
      await waitUntilSettled(false);
      await waitUntilSettled(true);
      fleet.pause(A);
      await fleet.advance(1500);
      fleet.resume(A);
      send(fleet, [A, B, C], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a holder restarts while others hold tokens that it lent',
    entries: 2,
    injectFault: async (fleet) => {
      await borrowAhead(fleet, B);
      fleet.restart(A);
      await fleet.advance(115);
      send(fleet, [A, B], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a paused borrower resumes after its loans have expired',
    entries: 2,
    injectFault: async (fleet) => {
      await borrowAhead(fleet, B);
      fleet.pause(B);
      await fleet.advance(900);
      fleet.resume(B);
      send(fleet, [A, B], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a holder stops as planned while others hold tokens that it lent',
    entries: 3,
    injectFault: async (fleet) => {
      await borrowAhead(fleet, B);
      void fleet.stop(C);
      await fleet.advance(115);
      send(fleet, [A, B], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'every entry restarts at once',
    entries: 3,
    injectFault: async (fleet) => {
      for (let round = 0; round < 5; round += 1) {
        send(fleet, [A, B, C], 12);
        await fleet.advance(20);
        [A, B, C].forEach(fleet.restart);
      }
      await fleet.advance(1200);
      send(fleet, [A, B, C], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'the others read an outdated VM list without an entry that has joined',
    entries: 2,
    injectFault: async (fleet) => {
      fleet.hideFromList(A, C);
      fleet.hideFromList(B, C);
      fleet.add();
      await fleet.advance(10_000);
      send(fleet, [A, B, C], 12);
      await fleet.advance(30);
      fleet.showAllInLists();
    },
  },
  {
    name: 'a lost VM is replaced during an outage of the store',
    entries: 3,
    injectFault: async (fleet) => {
      fleet.setStoreDown(true);
      fleet.kill(C);
      fleet.add();
      await fleet.advance(5000);
      fleet.listed.delete(C);
      fleet.setStoreDown(false);
      for (let round = 0; round < 40; round += 1) {
        send(fleet, fleet.addresses().filter(fleet.isRunning), 12);
        await fleet.advance(250);
      }
    },
  },
];

describe('limits at the moment of a fault', () => {
  beforeAll(loadHashing);

  it.each(CASES.map((fault) => [fault.name, fault] as const))(
    'admits no more than the bound when %s',
    async (_name, { entries, injectFault }) => {
      for (const seed of [1, 2, 3]) {
        const fleet = newLimitFleet({
          entries,
          seed,
          rate: LIMIT,
          newController: newLimitController,
        });
        await fleet.advance(WARM_UP_MS);
        let maxTokens = 0;
        fleet.onStep = () => {
          maxTokens = Math.max(maxTokens, fleet.tokens(TEAM));
        };
        await injectFault(fleet);
        await fleet.advance(2000);
        expect({ seed, over: getOverAdmission(fleet.decisions, LIMIT) }).toEqual({ seed, over: 0 });
        expect(maxTokens).toBeLessThanOrEqual(LIMIT.burst + TOLERANCE);
        expect(fleet.decisions.some(({ admission }) => admission.admitted)).toBe(true);
      }
    },
  );

  it("gives a lost VM's share to the others once the VM list no longer contains it", async () => {
    const fleet = newLimitFleet({
      entries: 3,
      seed: 4,
      rate: LIMIT,
      newController: newLimitController,
    });
    await fleet.advance(WARM_UP_MS);
    fleet.kill(C);
    await fleet.advance(1000);
    expect(fleet.tokens(TEAM)).toBeCloseTo((LIMIT.burst * 2) / 3);
    fleet.listed.delete(C);
    await fleet.advance(16_000);
    expect(fleet.tokens(TEAM)).toBeCloseTo(LIMIT.burst);
  });

  it('keeps every token when an entry stops as planned', async () => {
    const slowLimit: RateLimit = { rate: 1, burst: 30 };
    const fleet = newLimitFleet({
      entries: 3,
      seed: 5,
      rate: slowLimit,
      newController: newLimitController,
    });
    await fleet.advance(60_000);
    send(fleet, [A, B], 9);
    await fleet.advance(100);
    const before = fleet.tokens(TEAM);
    const stopped = fleet.stop(C);
    await fleet.advance(1500);
    await stopped;
    expect(before).toBeGreaterThan(11);
    expect(fleet.tokens(TEAM)).toBeGreaterThan(before);
  });

  it('returns the time until the next token with a refusal', async () => {
    const slowLimit: RateLimit = { rate: 2, burst: 6 };
    const fleet = newLimitFleet({
      entries: 3,
      seed: 6,
      rate: slowLimit,
      newController: newLimitController,
    });
    await fleet.advance(20_000);
    send(fleet, [B], 7);
    await fleet.advance(200);
    const refusal = fleet.decisions.find(({ admission }) => !admission.admitted);
    const retryAfterMs = refusal?.admission.admitted === false ? refusal.admission.retryAfterMs : 0;
    expect(fleet.decisions.filter(({ admission }) => admission.admitted)).toHaveLength(6);
    expect(refusal === undefined ? 0 : refusal.decidedMs - refusal.arrivedMs).toBeLessThan(100);
    expect(retryAfterMs).toBeGreaterThan(400);
    await fleet.advance(retryAfterMs);
    send(fleet, [B], 1);
    await fleet.advance(200);
    expect(fleet.decisions.at(-1)?.admission.admitted).toBe(true);
  });
});
