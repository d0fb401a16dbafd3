/** A fleet of gateways that gossip under load and faults, with a manual clock and without sockets. */
import { ManualClock, newSeededRandom, newSilentLogger, type Address } from '@anvilpaddle/common';
import {
  newInputQuarantine,
  newItemTracker,
  newLoadTracker,
  newSlidingWindowLimiter,
  newTeamSlots,
  newUpstreamLimits,
} from '@anvilpaddle/decisions';
import type { Gateway, GatewayList } from 'anvilpaddle-app/gateway/gatewayList';
import { newGossip } from 'anvilpaddle-app/gateway/gossip';
import type { newGossipSocket } from 'anvilpaddle-app/gateway/gossipSocket';

const UPSTREAMS = 34;
const LIMITED_UPSTREAMS = 3;
/** Failure domains of a fleet by default. */
const FAILURE_DOMAINS = 3;
const TEAMS = 77;
/** Teams whose requests are most frequent get more of them by this power of a uniform number. */
const TEAM_SKEW = 2;
const TEAM_LIMIT = { rate: 1000, burst: 1000 };
const WINDOW_MS = 5000;
const LIMIT_PER_SECOND = 40;
const REQUESTS_PER_GATEWAY_PER_SECOND = 4;
const REQUEST_MS = 500;
/** Running items of a gateway, one at an upstream, and its waiting items. */
const RUNNING_ITEMS = 4;
const WAITING_ITEMS = 4;
const ITEM_MS = 4700;
const DUE_MS = 18_000;
/** Parts of prompts that were aboard at crashes. */
const SUSPECTS = 12;
const CRASHES_PER_SUSPECT = 2;
/** Interval at which items are reported. */
const ITEM_REPORT_INTERVAL_MS = 30;
/** Step of the clock; datagrams of different gateways are sent at different times. */
const STEP_MS = 2;

/** A gateway of the fleet. */
export interface FleetMember {
  readonly gateway: Gateway;
  /** Hands over a datagram that has arrived. */
  receive(content: Buffer): void;
}

/** Connections of a fleet to its measurement. */
export interface FleetHooks {
  /** Called for each datagram that a member sends to a gateway; the sender's time includes the call. */
  onSend(from: Gateway, to: Gateway, content: Buffer): void;
  /** Called in place of each timer of a member, which it must run. */
  runTimer?(run: () => void): void;
  /** Called after a member has applied a datagram. */
  onPeerUpdate?(): void;
}

/** A running fleet. */
export interface GossipFleet {
  readonly members: readonly FleetMember[];
  /** Moves time forward by one step, with the requests and items of it; returns its length in milliseconds. */
  step(): number;
}

/** Address of the member with this index, which nothing listens at. */
const getMemberAddress = (index: number): Address => ({ host: '127.0.0.1', port: 20_000 + index });

const newList = (others: readonly Gateway[]): GatewayList => ({
  getOthers: () => others,
  hasRecentHeartbeat: () => true,
  isCurrent: () => true,
  getReadRevision: () => 0,
  hasBeenRead: () => true,
  countRestarts: () => 0,
  onAdmissions: () => undefined,
  addFromDatagram: () => undefined,
  leave: () => Promise.resolve(),
});

const newSharedState = (random: () => number) => ({
  upstreamLoads: newLoadTracker(),
  items: newItemTracker(),
  limit: newSlidingWindowLimiter(WINDOW_MS),
  quarantine: newInputQuarantine(),
  upstreamLimits: newUpstreamLimits({
    getVisibility: () => ({ members: 1, recentlySeen: 1 }),
    random,
  }),
  teamSlots: newTeamSlots(),
  teamShares: { getReport: () => [] },
});

/** Starts a fleet; `extra` are gateways outside of it that get its datagrams too. */
export const startGossipFleet = (
  size: number,
  { onSend, runTimer = (run) => run(), onPeerUpdate = () => undefined }: FleetHooks,
  extra: readonly Gateway[] = [],
  failureDomains = FAILURE_DOMAINS,
): GossipFleet => {
  const clock = new ManualClock();
  const random = newSeededRandom(1);
  const log = newSilentLogger();
  const measuredClock = {
    monotonic: () => clock.monotonic(),
    wall: () => clock.wall(),
    after: (delayMs: number, action: () => void) => clock.after(delayMs, () => runTimer(action)),
    every: (intervalMs: number, action: () => void) => clock.every(intervalMs, action),
  };
  const gateways = Array.from({ length: size }, (_, index): Gateway => ({
    vm: `edge-${index + 1}`,
    incarnation: `gw_4f9c2e7d1a${String(index).padStart(6, '0')}`,
    address: getMemberAddress(index),
    failureDomain: `zone-${(index % failureDomains) + 1}`,
  }));
  const getUpstream = (index: number): string => `model-server-${index % UPSTREAMS}`;
  const getTeam = (): string => `team-${Math.floor(TEAMS * random() ** TEAM_SKEW)}`;

  const members = gateways.map((gateway) => {
    const shared = newSharedState(random);
    let onDatagram: (content: Buffer, sender: Address) => void = () => undefined;
    const openSocket: typeof newGossipSocket = (_, receive) => {
      onDatagram = receive;
      return {
        send: (content, to) => onSend(gateway, to, content),
        close: () => undefined,
      };
    };
    const others = [...gateways, ...extra].filter((other) => other !== gateway);
    const state = { takesJobs: true, reachesStore: true, isServing: true };
    const hooks = {
      getState: () => state,
      onPeerUpdate,
      metrics: { countDatagram: () => undefined },
    };
    const gossip = newGossip(
      gateway,
      newList(others),
      shared,
      hooks,
      measuredClock,
      log,
      openSocket,
    );
    const receive = (content: Buffer): void => onDatagram(content, gateway.address);
    return { gateway, receive, gossip, shared };
  });
  type Member = (typeof members)[number];

  const sendRequest = ({ gossip, shared }: Member, nowMs: number): void => {
    const index = Math.floor(random() * UPSTREAMS);
    const visibility = { members: size, recentlySeen: size, oldestUptimeMs: Infinity };
    shared.limit.take(getTeam(), TEAM_LIMIT, visibility, nowMs);
    shared.upstreamLoads.begin(getUpstream(index), 'online');
    if (index < LIMITED_UPSTREAMS) {
      shared.upstreamLimits.recordSend(`${getUpstream(index)}/1`, nowMs);
    }
    gossip.scheduleSend();
    clock.after(REQUEST_MS * (0.5 + random()), () => {
      if (index < LIMITED_UPSTREAMS) {
        shared.upstreamLimits.recordResponse(
          `${getUpstream(index)}/1`,
          LIMIT_PER_SECOND,
          clock.monotonic(),
        );
      }
      shared.upstreamLoads.end(getUpstream(index), 'online');
      gossip.scheduleSend();
    });
  };

  const reportItems = ({ shared }: Member, memberIndex: number, nowMs: number): void => {
    const running = Array.from({ length: RUNNING_ITEMS }, (_, index) => {
      const remainingMs = ITEM_MS - ((nowMs + index * 900 + memberIndex * 70) % ITEM_MS);
      return [
        getUpstream(memberIndex * RUNNING_ITEMS + index),
        [{ dueMs: DUE_MS + nowMs, remainingMs }],
      ] as const;
    });
    const waiting = Array.from({ length: WAITING_ITEMS }, () => ({
      dueMs: DUE_MS + memberIndex,
      remainingMs: ITEM_MS,
    }));
    shared.items.setOwn({ running: new Map(running), waiting: new Map([['models', waiting]]) });
  };

  members.forEach(({ shared }, index) =>
    Array.from({ length: RUNNING_ITEMS }, (_, item) =>
      shared.upstreamLoads.begin(getUpstream(index * RUNNING_ITEMS + item), 'batch'),
    ),
  );
  // A gateway that has run for a while has admitted requests of all teams.
  members.forEach(({ shared }) =>
    Array.from({ length: TEAMS }, (_, team) => {
      const visibility = { members: size, recentlySeen: size, oldestUptimeMs: Infinity };
      return shared.limit.take(`team-${team}`, TEAM_LIMIT, visibility, 0);
    }),
  );
  Array.from({ length: SUSPECTS }, (_, suspect) =>
    Array.from({ length: CRASHES_PER_SUSPECT }, (__, crash) => {
      const member = members[(suspect * CRASHES_PER_SUSPECT + crash) % members.length];
      const lost = {
        promptParts: ['5f2c81d09e7a4b63', `part${suspect}`.padStart(16, '0')],
        digest: `d${suspect}`.padStart(16, '0'),
        runMs: 200,
        concurrency: 6,
        hasOutlivedStart: false,
      };
      return member?.shared.quarantine.recordCrash(`u${suspect}${crash}`, [lost], 0);
    }),
  );

  return {
    members,
    step: () => {
      const nowMs = clock.monotonic();
      members.forEach((member, index) => {
        const requests = (REQUESTS_PER_GATEWAY_PER_SECOND * STEP_MS) / 1000;
        if (random() < requests) sendRequest(member, nowMs);
        if ((nowMs + STEP_MS * index) % ITEM_REPORT_INTERVAL_MS === 0) {
          reportItems(member, index, nowMs);
          member.gossip.scheduleSend();
        }
      });
      clock.advance(STEP_MS);
      return STEP_MS;
    },
  };
};
