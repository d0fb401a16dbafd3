import { loadHashing } from '@anvilpaddle/common';
import type { RateLimit } from '@anvilpaddle/decisions';
import { newLimitController } from '../controllers/limitController';
import { getOverAdmission, newLimitFleet, type LimitFleet } from './kit/limitFleet';

const TEAM = 'utility-a';
const LIMIT: RateLimit = { rate: 200, burst: 12 };
const TOLERANCE = 1e-6;
const [A, B, C] = ['entry-1:9000', 'entry-2:9000', 'entry-3:9000'] as const;
/** Time in which every entry has become a member and its share is full. */
const SETTLE_MS = 8000;

const send = (fleet: LimitFleet, entries: readonly string[], count: number): void => {
  for (let sent = 0; sent < count; sent += 1) {
    entries.forEach((entry) => fleet.request(entry, TEAM));
  }
};

/** Has one entry borrow ahead of its demand, so that it holds tokens of the others. */
const fillPurse = async (fleet: LimitFleet, entry: string): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 6) {
    fleet.request(entry, TEAM);
    await fleet.advance(6);
  }
};

/** Each fault strikes at the moment when a wrong design admits too much. */
const CASES: readonly {
  readonly name: string;
  readonly entries: number;
  readonly strike: (fleet: LimitFleet) => Promise<void>;
}[] = [
  {
    name: 'a paused member wakes after another entry has asked to join',
    entries: 2,
    strike: async (fleet) => {
      fleet.pause(A);
      fleet.add();
      await fleet.advance(4000);
      fleet.resume(A);
      send(fleet, [A, B, C], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a member that has made room is paused while another entry joins',
    entries: 2,
    strike: async (fleet) => {
      fleet.add();
      const isJoined = (): boolean =>
        JSON.stringify(fleet.tables.get('limits', 'view')?.value).includes('"joining":[]');
      const wait = async (until: boolean): Promise<void> => {
        for (let step = 0; step < 2000 && isJoined() !== until; step += 1) await fleet.advance(2);
        expect(isJoined()).toBe(until);
      };
      await wait(false);
      await wait(true);
      fleet.pause(A);
      await fleet.advance(1500);
      fleet.resume(A);
      send(fleet, [A, B, C], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a holder restarts while others hold what it lent',
    entries: 2,
    strike: async (fleet) => {
      await fillPurse(fleet, B);
      fleet.restart(A);
      await fleet.advance(115);
      send(fleet, [A, B], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a paused borrower wakes after its grants have lapsed',
    entries: 2,
    strike: async (fleet) => {
      await fillPurse(fleet, B);
      fleet.pause(B);
      await fleet.advance(900);
      fleet.resume(B);
      send(fleet, [A, B], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'a holder stops as planned while others hold what it lent',
    entries: 3,
    strike: async (fleet) => {
      await fillPurse(fleet, B);
      void fleet.stop(C);
      await fleet.advance(115);
      send(fleet, [A, B], 12);
      await fleet.advance(30);
    },
  },
  {
    name: 'every entry restarts at once',
    entries: 3,
    strike: async (fleet) => {
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
    name: 'the others get a list so late that it does not name an entry that has joined',
    entries: 2,
    strike: async (fleet) => {
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
    strike: async (fleet) => {
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
    async (_name, { entries, strike }) => {
      for (const seed of [1, 2, 3]) {
        const fleet = newLimitFleet({
          entries,
          seed,
          rate: LIMIT,
          newController: newLimitController,
        });
        await fleet.advance(SETTLE_MS);
        let mostTokens = 0;
        fleet.onStep = () => {
          mostTokens = Math.max(mostTokens, fleet.tokens(TEAM));
        };
        await strike(fleet);
        await fleet.advance(2000);
        expect({ seed, over: getOverAdmission(fleet.decisions, LIMIT) }).toEqual({ seed, over: 0 });
        expect(mostTokens).toBeLessThanOrEqual(LIMIT.burst + TOLERANCE);
        expect(fleet.decisions.some(({ admission }) => admission.admitted)).toBe(true);
      }
    },
  );

  it("gives a lost VM's share to the others once the list drops it", async () => {
    const fleet = newLimitFleet({
      entries: 3,
      seed: 4,
      rate: LIMIT,
      newController: newLimitController,
    });
    await fleet.advance(SETTLE_MS);
    fleet.kill(C);
    await fleet.advance(1000);
    expect(fleet.tokens(TEAM)).toBeCloseTo((LIMIT.burst * 2) / 3);
    fleet.listed.delete(C);
    await fleet.advance(16_000);
    expect(fleet.tokens(TEAM)).toBeCloseTo(LIMIT.burst);
  });

  it('keeps every token when an entry stops as planned', async () => {
    const slow: RateLimit = { rate: 1, burst: 30 };
    const fleet = newLimitFleet({
      entries: 3,
      seed: 5,
      rate: slow,
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

  it('tells when the next token is there', async () => {
    const slow: RateLimit = { rate: 2, burst: 6 };
    const fleet = newLimitFleet({
      entries: 3,
      seed: 6,
      rate: slow,
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
