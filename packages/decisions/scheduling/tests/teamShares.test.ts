import fc from 'fast-check';
import { newSeededRandom } from '@anvilpaddle/common';
import { getPlacement, type Candidate, type Placement } from '../../placement/placement';
import { newTeamSlots, type HeldSlots, type TeamSlots } from '../teamSlots';
import {
  getPriorityClasses,
  getTeamShare,
  isOverShare,
  newTeamShares,
  placeWithinShare,
  type ScarceShare,
  type TeamDemand,
  type TeamShares,
  type TeamTerms,
} from '../teamShares';

const TOLERANCE = 1e-6;

const demands = fc.array(
  fc.record({
    slots: fc.integer({ min: 1, max: 60 }),
    priority: fc.nat(2),
    weight: fc.constantFrom(0.5, 1, 1, 2, 3),
  }),
  { minLength: 1, maxLength: 40 },
);
const capacity = fc.integer({ min: 0, max: 400 });

const getShares = (drawn: readonly TeamDemand[], slots: number): number[] => {
  const classes = getPriorityClasses(drawn, slots);
  return drawn.map((demand) => getTeamShare(demand, classes, slots));
};

const sum = (numbers: readonly number[]): number =>
  numbers.reduce((total, number) => total + number, 0);

// Guards against shares under which a modest team waits behind a greedy one.
describe('shares of scarce slots', () => {
  it('add up to the capacity while the demand does, and meet all demand below it', () => {
    fc.assert(
      fc.property(demands, capacity, (drawn, slots) => {
        const shares = getShares(drawn, slots);
        const used = sum(drawn.map((demand, index) => Math.min(demand.slots, shares[index] ?? 0)));
        const demand = sum(drawn.map((team) => team.slots));

        expect(Math.abs(used - Math.min(slots, demand))).toBeLessThan(TOLERANCE);
        if (demand > slots) return;
        drawn.forEach((team, index) => {
          expect(team.slots).toBeLessThanOrEqual(shares[index] ?? 0);
        });
      }),
      { seed: 1, numRuns: 500 },
    );
  });

  it('hold no team back that has fewer slots per weight than another of its priority that is not', () => {
    fc.assert(
      fc.property(demands, capacity, (drawn, slots) => {
        const shares = getShares(drawn, slots);
        const isOver = drawn.map((team, index) => team.slots > (shares[index] ?? 0));
        drawn.forEach((a, indexA) =>
          drawn.forEach((b, indexB) => {
            const isModest = a.slots / a.weight <= b.slots / b.weight;
            if (a.priority !== b.priority || !isModest) return;
            expect(isOver[indexA] === true && isOver[indexB] === false).toBe(false);
          }),
        );
      }),
      { seed: 2, numRuns: 300 },
    );
  });

  it('meet the demand of a more urgent priority before any of the next', () => {
    fc.assert(
      fc.property(demands, capacity, (drawn, slots) => {
        const shares = getShares(drawn, slots);
        const unmet = drawn.filter((team, index) => team.slots > (shares[index] ?? 0) + TOLERANCE);
        const mostUrgentUnmet = Math.min(...unmet.map(({ priority }) => priority));
        drawn.forEach((team, index) => {
          if (team.priority <= mostUrgentUnmet) return;
          expect(shares[index]).toBe(0);
        });
      }),
      { seed: 3, numRuns: 300 },
    );
  });

  it('are in proportion to the weights of teams that all ask for more', () => {
    const drawn = [1, 2, 3].map((weight) => ({ slots: 100, priority: 0, weight }));

    expect(getShares(drawn, 60)).toEqual([10, 20, 30]);
  });
});

const SERVICE = 'models';
const NOW_MS = 10_000;

const newHeld = (team: string, slots: number, priority = 0): HeldSlots => ({
  service: SERVICE,
  team,
  priority,
  slots,
});

const newCandidate = (id: string, online: number, batch = 0): Candidate => ({
  id,
  slots: 20,
  load: { online, batch },
  weight: 1,
  isSameFailureDomain: true,
  upstreamMeanMs: 500,
  serviceMeanMs: 500,
  limitWaitMs: undefined,
  isCold: false,
});

/**
 * Upstreams of 40 slots together with the given online load, which leaves some slots of one free; a mean
 * of 500 ms makes 80 requests a second.
 */
const newCandidates = (online: number, freeSlots = 0): Candidate[] => [
  newCandidate('u1', 20 - freeSlots),
  newCandidate('u2', online - 20 + freeSlots),
];

const newTeams = (...limits: number[]): TeamTerms[] =>
  limits.map((ratePerSecond, index) => ({ name: `t${index}`, ratePerSecond, weight: 1 }));

const newNode = (teams: readonly TeamTerms[], online = 44, freeSlots = 0) => {
  const teamSlots = newTeamSlots();
  const getCandidates = () => newCandidates(online, freeSlots);
  const sources = { teamSlots, getTeams: () => teams, getCandidates };
  return { teamSlots, teamShares: newTeamShares(sources, 0) };
};

const getIsOver = (shares: TeamShares, team: string, nowMs = NOW_MS, priority = 0) => {
  const scarce = shares.getShare({ service: SERVICE, team, priority }, nowMs);
  return scarce === undefined ? undefined : isOverShare(scarce.share);
};

const getShare = (shares: TeamShares, nowMs = NOW_MS) =>
  shares.getShare({ service: SERVICE, team: 't0', priority: 0 }, nowMs)?.share;

/** Two peers report 44 requests for 40 slots: 30 of one team and 14 of another. */
const report = (teamSlots: TeamSlots, nowMs = NOW_MS): void => {
  teamSlots.updatePeer('p1', [newHeld('t0', 20), newHeld('t1', 7)], nowMs);
  teamSlots.updatePeer('p2', [newHeld('t0', 10), newHeld('t1', 7)], nowMs);
};

const CALLED_FOR = newTeams(60, 60);

describe('a gateway that shares slots among teams', () => {
  it('holds back the team over its share by its own counts and those of all peers', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots);

    expect(getShare(teamShares)).toEqual({
      teamSlots: 30,
      teamShare: 26,
      teamCapacity: 40,
    });
    expect(['t0', 't1', 'just-begun'].map((team) => getIsOver(teamShares, team))).toEqual([
      true,
      false,
      false,
    ]);
    expect(teamShares.countOver(NOW_MS)).toBe(1);
  });

  it('knows no share while the service has a slot for each request', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR, 40);
    teamSlots.updatePeer('p1', [newHeld('t0', 39), newHeld('t1', 1)], NOW_MS);

    expect(getShare(teamShares)).toBeUndefined();
    expect(teamShares.countOver(NOW_MS)).toBe(0);
  });

  // Otherwise requests on public routes, or of gateways of an earlier version, would hide a shortage.
  it('shares what requests leave that name no team', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR, 54);
    report(teamSlots);

    expect(getShare(teamShares)).toEqual({
      teamSlots: 30,
      teamShare: 16,
      teamCapacity: 30,
    });
  });

  it('holds back a less urgent team first', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    teamSlots.updatePeer('p1', [newHeld('t0', 30), newHeld('t1', 14, 1)], NOW_MS);

    expect(getIsOver(teamShares, 't0')).toBe(false);
    expect(getIsOver(teamShares, 't1', NOW_MS, 1)).toBe(true);
  });

  // Guards against a part that acts where no configuration calls for it.
  it.each<[string, readonly TeamTerms[]]>([
    ['there are no teams', []],
    ['no team has a limit', newTeams(0, 0)],
    ['the limits add up to less than the service can take', newTeams(40, 39)],
  ])('shares and reports nothing where %s', (_, teams) => {
    const { teamSlots, teamShares } = newNode(teams);
    teamSlots.begin({ service: SERVICE, team: 't0', priority: 0 });
    report(teamSlots);

    expect(getIsOver(teamShares, 't0')).toBeUndefined();
    expect(teamShares.getReport(NOW_MS)).toEqual([]);
    expect(teamShares.countOver(NOW_MS)).toBe(0);
  });

  it('reports its own slots, without those of requests that have ended', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    const holder = { service: SERVICE, team: 't\n0', priority: 1 };
    teamSlots.begin(holder);
    teamSlots.begin(holder);
    teamSlots.begin({ ...holder, team: 't1' });
    teamSlots.end({ ...holder, team: 't1' });
    report(teamSlots);

    expect(teamShares.getReport(NOW_MS)).toEqual([{ ...holder, slots: 2 }]);
  });
});

// The failures of the plan: a gateway lost, frozen or cut off, and datagrams late or lost.
describe('shares when gateways fail', () => {
  it('count the slots of a lost gateway until its report is 1.5 s old', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots);
    const getHeldAfter = (silenceMs: number): number | undefined => {
      // Another peer goes on to report.
      teamSlots.updatePeer('p2', [newHeld('t0', 10)], NOW_MS + silenceMs);
      return getShare(teamShares, NOW_MS + silenceMs)?.teamSlots;
    };

    expect([getHeldAfter(0), getHeldAfter(1500), getHeldAfter(1600)]).toEqual([30, 30, 10]);
  });

  it('do not count the slots of a process whose VM has a new one', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots);
    teamSlots.removePeer('p1');

    expect(getShare(teamShares)?.teamSlots).toBe(10);
  });

  it.each<[string, number, number]>([
    ['has just started', 0, 600],
    ['hears no peers', NOW_MS, NOW_MS + 700],
  ])('hold nothing back at a gateway that %s', (_, reportMs, nowMs) => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots, reportMs);

    expect(getIsOver(teamShares, 't0', nowMs)).toBeUndefined();
    expect(teamShares.countOver(nowMs)).toBe(0);
  });

  it('are as last reported while a datagram is late, and not counted twice if one is duplicated', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots);
    report(teamSlots);

    expect(getIsOver(teamShares, 't0', NOW_MS + 250)).toBe(true);
    expect(getShare(teamShares)?.teamSlots).toBe(30);
  });

  it('drop the slots of a peer that no longer reports teams', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots);
    teamSlots.updatePeer('p1', [], NOW_MS);

    expect(getShare(teamShares)?.teamSlots).toBe(10);
  });
});

describe('a request of a team over its share', () => {
  // Guards against a refusal although an upstream has room, which batch items would yield.
  it('gets the slot of a batch item where other upstreams have queues', () => {
    const timing = { objectiveLeftMs: 300, timeLeftMs: 5000, maxWaitMs: 0 };
    const candidates = [newCandidate('items', 19, 20), newCandidate('queue', 20)];
    const placements = [0, 0.3, 0.6, 0.9].map((draw) =>
      getPlacement(candidates, timing, () => draw),
    );

    placements.forEach((placement) =>
      expect(placement).toEqual({ kind: 'send', upstream: 'items', waitMs: 0 }),
    );
  });

  it('is refused where all upstreams have queues', () => {
    const timing = { objectiveLeftMs: 300, timeLeftMs: 5000, maxWaitMs: 0 };

    expect(getPlacement([newCandidate('queue', 20)], timing, () => 0.5)).toEqual({
      kind: 'refuse',
      queueMs: 25,
    });
  });

  const place = (maxWaitMs: number): Placement => ({
    kind: 'send',
    upstream: 'u1',
    waitMs: maxWaitMs,
  });
  const over = { teamSlots: 30, teamShare: 26, teamCapacity: 40 };

  it.each<[string, ScarceShare | undefined, Placement]>([
    ['waits as before without a shortage', undefined, place(Infinity)],
    [
      'waits as before within the share',
      { share: { ...over, teamSlots: 26 }, hasFreeSlots: false },
      place(Infinity),
    ],
    ['gets a free slot', { share: over, hasFreeSlots: true }, place(0)],
    [
      'is refused if other gateways may have taken what seems free',
      { share: over, hasFreeSlots: false },
      { kind: 'refuse', queueMs: 0 },
    ],
  ])('%s', (_, scarce, placement) => {
    expect(placeWithinShare(scarce, place)).toEqual(placement);
  });

  // Guards against slots that seem free to all gateways at once, each of which then takes them.
  it.each([
    ['reports are new', 0, true],
    ['reports are older than the time in which the free slots are taken', 100, false],
  ])('finds slots free or not where %s', (_, intervalMs, hasFreeSlots) => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR, 44, 2);
    report(teamSlots, NOW_MS - intervalMs);
    report(teamSlots);
    const holder = { service: SERVICE, team: 't0', priority: 0 };

    expect(teamShares.getShare(holder, NOW_MS)?.hasFreeSlots).toBe(hasFreeSlots);
  });

  it('is told to come back when as many of its requests have ended as it has too many', () => {
    const { teamSlots, teamShares } = newNode(CALLED_FOR);
    report(teamSlots);
    const holder = { service: SERVICE, team: 't0', priority: 0 };
    const getRetryAfterMs = (slots: number, share: number): number =>
      teamShares.getRetryAfterMs(
        holder,
        { teamSlots: slots, teamShare: share, teamCapacity: 40 },
        1,
        NOW_MS,
      );

    // Half of its slots have to end: half of the mean of 500 ms. The next caller is spread out.
    expect(getRetryAfterMs(40, 20)).toBe(250);
    expect(getRetryAfterMs(40, 20)).toBe(275);
    expect(getRetryAfterMs(40, 0)).toBeLessThanOrEqual(1500);
  });
});

// Guards against sums, kept up to date report by report, that drift from what the peers reported.
describe('slots of teams', () => {
  it('are the sums of the own requests and of the latest reports of all peers', () => {
    const random = newSeededRandom(4);
    const getInt = (limit: number): number => Math.floor(random() * limit);
    const teamSlots = newTeamSlots();
    const reports = new Map<string, { held: readonly HeldSlots[]; receivedMs: number }>();
    const own = new Map<string, number>();
    let nowMs = 0;
    const isCounted = ({ receivedMs }: { readonly receivedMs: number }): boolean =>
      nowMs - receivedMs <= 1500;
    for (let step = 0; step < 2000; step += 1) {
      nowMs += getInt(400);
      const peer = `p${getInt(6)}`;
      const team = `t${getInt(4)}`;
      const running = own.get(team) ?? 0;
      if (random() < 0.2) {
        teamSlots.removePeer(peer);
        reports.delete(peer);
      } else {
        const held = [0, 1, 2]
          .filter(() => random() < 0.5)
          .map((t) => newHeld(`t${t}`, 1 + getInt(3)));
        teamSlots.updatePeer(peer, held, nowMs);
        reports.set(peer, { held, receivedMs: nowMs });
      }
      if (running > 0 && random() < 0.5) {
        teamSlots.end(newHeld(team, 1));
        own.set(team, running - 1);
      } else {
        teamSlots.begin(newHeld(team, 1));
        own.set(team, running + 1);
      }
      const expected = new Map(own);
      [...reports.values()]
        .filter(isCounted)
        .flatMap(({ held }) => held)
        .forEach((held) => expected.set(held.team, (expected.get(held.team) ?? 0) + held.slots));
      const actual = teamSlots
        .getHeld(SERVICE, nowMs)
        .map((held) => [held.team, held.slots] as const);

      expect(new Map([...actual].sort())).toEqual(
        new Map([...expected].filter(([, slots]) => slots > 0).sort()),
      );
    }
    expect(teamSlots.getHeld('another', nowMs)).toEqual([]);
  });
});
