/** Replays the surge of one team among many, at gateways that know each other's state of some time ago. */
import { newSeededRandom, type Random } from '@anvilpaddle/common';
import { newLoadTracker } from '../../placement/loadTracker';
import { getPlacement, type Candidate, type RequestTiming } from '../../placement/placement';
import { newTeamShares, placeWithinShare } from '../teamShares';
import { newTeamSlots, type SlotHolder } from '../teamSlots';

const SERVICE = 'models';
const GATEWAYS = 38;
const TEAMS = 77;
const UPSTREAMS = Array.from({ length: 30 }, (_, index) => `u${index}`);
const SLOTS = 8;
/** Requests that an upstream keeps beside those that it works on. */
const UPSTREAM_QUEUE = 24;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 800;
const MEAN_MS = (MIN_DURATION_MS + MAX_DURATION_MS) / 2;
const OBJECTIVE_MS = 300;
/** Wait for a slot with which the first event is late: it needs some 70 ms more. */
const LATE_WAIT_MS = 230;
/** Requests a second that all slots can take. */
const FULL_RATE = (UPSTREAMS.length * SLOTS * 1000) / MEAN_MS;

/** The surge begins once the load is steady and the gateways have heard each other. */
const SURGE_START_MS = 2000;
const SURGE_END_MS = 7000;
const END_MS = 8000;
/** With the delay and the losses, views of peers are 25 to 250 ms old. */
const REPORT_INTERVAL_MS = 95;
const MIN_DELAY_MS = 25;
const MAX_DELAY_MS = 60;
/** Fraction of reports that don't arrive. */
const LOSS = 0.1;

const SURGING = 'surging';

interface Load {
  /** Rate of all other teams and of the surging one, as fractions of what all slots can take. */
  readonly others: number;
  readonly usual: number;
  readonly factor: number;
}

/** Requests of one team, or several. */
interface Tally {
  requests: number;
  refused: number;
  late: number;
}

interface Result {
  readonly others: Tally;
  readonly surging: Tally;
}

interface Upstream {
  /** Times at which its slots have done what they were given. */
  readonly freeAtMs: number[];
  inside: number;
}

const newGateway = (index: number) => {
  const loads = newLoadTracker();
  const teamSlots = newTeamSlots();
  let nowMs = 0;
  const getCandidates = (): Candidate[] =>
    UPSTREAMS.map((id) => ({
      id,
      slots: SLOTS,
      load: loads.getLoad(id, nowMs),
      weight: 1,
      isSameFailureDomain: false,
      upstreamMeanMs: MEAN_MS,
      serviceMeanMs: MEAN_MS,
      limitWaitMs: undefined,
      isCold: false,
    }));
  const teams = Array.from({ length: TEAMS }, (_, team) => ({
    name: team === 0 ? SURGING : `team-${team}`,
    ratePerSecond: FULL_RATE / 10,
    weight: 1,
  }));
  const teamShares = newTeamShares({ teamSlots, getTeams: () => teams, getCandidates }, 0);
  return {
    name: `gw-${index}`,
    loads,
    teamSlots,
    teamShares,
    lastSentMs: new Map<string, number>(),
    getCandidates: (atMs: number) => {
      nowMs = atMs;
      return getCandidates();
    },
  };
};
type Gateway = ReturnType<typeof newGateway>;

/** Places a request as a gateway does; `isShared` is whether the shares of teams are looked at. */
const place = (
  gateway: Gateway,
  holder: SlotHolder,
  atMs: number,
  isShared: boolean,
  random: Random,
) => {
  const candidates = gateway.getCandidates(atMs);
  const timing: RequestTiming = { objectiveLeftMs: OBJECTIVE_MS, timeLeftMs: 5000 };
  const scarce = isShared ? gateway.teamShares.getShare(holder, atMs) : undefined;
  return placeWithinShare(scarce, (maxWaitMs) =>
    getPlacement(candidates, { ...timing, maxWaitMs }, random),
  );
};

const newTally = (): Tally => ({ requests: 0, refused: 0, late: 0 });

const replay = ({ others, usual, factor }: Load, isShared: boolean, seed: number): Result => {
  const random = newSeededRandom(seed);
  const gateways = Array.from({ length: GATEWAYS }, (_, index) => newGateway(index));
  const upstreams = new Map<string, Upstream>(
    UPSTREAMS.map((id) => [id, { freeAtMs: new Array<number>(SLOTS).fill(0), inside: 0 }]),
  );
  const actions = new Map<number, (() => void)[]>();
  const at = (ms: number, action: () => void): void => {
    const time = Math.ceil(ms);
    actions.set(time, [...(actions.get(time) ?? []), action]);
  };
  const result = { others: newTally(), surging: newTally() };

  const report = (sender: Gateway, nowMs: number): void => {
    const loads = new Map(sender.loads.getOwn());
    const held = sender.teamShares.getReport(nowMs);
    const sentMs = nowMs;
    const arrivalMs = nowMs + MIN_DELAY_MS + random() * (MAX_DELAY_MS - MIN_DELAY_MS);
    if (random() < LOSS) return;
    at(arrivalMs, () =>
      gateways.forEach((receiver) => {
        if (receiver === sender) return;
        // A report that a later one has overtaken is ignored.
        if (sentMs < (receiver.lastSentMs.get(sender.name) ?? 0)) return;
        receiver.lastSentMs.set(sender.name, sentMs);
        receiver.loads.updatePeer(sender.name, loads, Math.ceil(arrivalMs));
        receiver.teamSlots.updatePeer(sender.name, held, Math.ceil(arrivalMs));
      }),
    );
  };

  const serve = (team: string, nowMs: number): void => {
    const gateway = gateways[Math.floor(random() * GATEWAYS)];
    if (gateway === undefined) return;
    const isCounted = nowMs >= SURGE_START_MS && nowMs < SURGE_END_MS;
    const tally = !isCounted ? newTally() : result[team === SURGING ? 'surging' : 'others'];
    tally.requests += 1;
    const holder = { service: SERVICE, team, priority: 0 };
    const placement = place(gateway, holder, nowMs, isShared, random);
    const upstream = placement.kind === 'send' ? upstreams.get(placement.upstream) : undefined;
    if (
      placement.kind === 'refuse' ||
      upstream === undefined ||
      upstream.inside >= SLOTS + UPSTREAM_QUEUE
    ) {
      tally.refused += 1;
      return;
    }
    upstream.freeAtMs.sort((a, b) => a - b);
    const startMs = Math.max(nowMs, upstream.freeAtMs[0] ?? 0);
    const endMs = startMs + MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
    upstream.freeAtMs[0] = endMs;
    upstream.inside += 1;
    if (startMs - nowMs > LATE_WAIT_MS) tally.late += 1;
    gateway.loads.begin(placement.upstream, 'online');
    gateway.teamSlots.begin(holder);
    at(endMs, () => {
      upstream.inside -= 1;
      gateway.loads.end(placement.upstream, 'online');
      gateway.teamSlots.end(holder);
    });
  };

  const drawCount = (perMs: number): number => Math.floor(perMs) + Number(random() < perMs % 1);

  for (let nowMs = 0; nowMs < END_MS; nowMs += 1) {
    actions.get(nowMs)?.forEach((action) => action());
    actions.delete(nowMs);
    gateways.forEach((gateway, index) => {
      const offsetMs = Math.floor((index * REPORT_INTERVAL_MS) / GATEWAYS);
      if (nowMs % REPORT_INTERVAL_MS === offsetMs) report(gateway, nowMs);
    });
    const isSurge = nowMs >= SURGE_START_MS && nowMs < SURGE_END_MS;
    const surgingPerMs = (FULL_RATE * usual * (isSurge ? factor : 1)) / 1000;
    for (let left = drawCount(surgingPerMs); left > 0; left -= 1) serve(SURGING, nowMs);
    for (let left = drawCount((FULL_RATE * others) / 1000); left > 0; left -= 1) {
      serve(`team-${1 + Math.floor(random() * (TEAMS - 1))}`, nowMs);
    }
  }
  return result;
};

const SEED = 1;
const QUIET: Load = { others: 0.7, usual: 0.1, factor: 1 };
const SURGE: Load = { ...QUIET, factor: 6 };
/** The same surge where the others leave room for it. */
const ROOMY: Load = { others: 0.2, usual: 0.08, factor: 6 };

/** Fraction of requests that are refused or late. */
const getMissed = ({ requests, refused, late }: Tally): number => (refused + late) / requests;

describe('a surge of one team', () => {
  // Guards against a team below its limit that takes the capacity of all others.
  it('costs the other teams little, and itself what it asks for beyond its share', () => {
    const quiet = replay(QUIET, true, SEED);
    const unshared = replay(SURGE, false, SEED);
    const shared = replay(SURGE, true, SEED);

    expect(getMissed(shared.others)).toBeLessThan(0.5 * getMissed(unshared.others));
    expect(getMissed(shared.others)).toBeLessThan(getMissed(quiet.others) + 0.1);
    expect(shared.others.refused).toBeLessThan(0.1 * unshared.others.refused);
    // Requests beyond its share are refused at once, and fewer of them are late.
    expect(shared.surging.refused).toBeGreaterThan(unshared.surging.refused);
    expect(shared.surging.late).toBeLessThan(0.5 * unshared.surging.late);
    // It is served with what the others leave, and not held at its usual rate.
    expect(shared.surging.requests - shared.surging.refused).toBeGreaterThan(
      quiet.surging.requests,
    );
  });

  // Guards against a team that is held back although nobody else needs the slots.
  it.each([
    ['on a fleet with room', ROOMY],
    ['that is over', QUIET],
  ])('is served as before %s', (_, load) => {
    expect(replay(load, true, SEED)).toEqual(replay(load, false, SEED));
  });
});
