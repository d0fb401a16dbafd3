import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { loadHashing, ManualClock, newSilentLogger, type Address } from '@anvilpaddle/common';
import {
  newInputQuarantine,
  newItemTracker,
  newLoadTracker,
  newSlidingWindowLimiter,
  newTeamSlots,
  newUpstreamLimits,
  RECENT_ADMISSIONS,
} from '@anvilpaddle/decisions';
import type { GatewayState } from '../datagram';
import type { Gateway, GatewayList } from '../gatewayList';
import { newGossip, type Gossip } from '../gossip';
import type { GossipMetrics } from '../gossipSocket';

const WINDOW_MS = 5000;
const SERVING: GatewayState = { takesJobs: true, reachesStore: true, isServing: true };

const getFreeAddress = async (): Promise<Address> => {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  const { address, port } = socket.address();
  await new Promise<void>((resolve) => {
    socket.close(() => resolve());
  });
  return { host: address, port };
};

const newList = (others: readonly Gateway[], added: Gateway[]): GatewayList => ({
  getOthers: () => others,
  hasRecentHeartbeat: () => true,
  isCurrent: () => true,
  getReadRevision: () => 0,
  hasBeenRead: () => true,
  countRestarts: () => 0,
  onAdmissions: () => undefined,
  addFromDatagram: (gateway) => added.push(gateway),
  leave: () => Promise.resolve(),
});

const running: Gossip[] = [];

beforeAll(loadHashing);

afterEach(() => running.splice(0).forEach((gossip) => gossip.close()));

/** Gossip of a gateway with its shared state; `waitForUpdate` resolves with the next datagram. */
const newNode = (self: Gateway, others: readonly Gateway[], state: GatewayState = SERVING) => {
  const clock = new ManualClock();
  /** Gateways that became known by their datagrams. */
  const added: Gateway[] = [];
  const teamSlots = newTeamSlots();
  const shared = {
    upstreamLoads: newLoadTracker(),
    items: newItemTracker(),
    limit: newSlidingWindowLimiter(WINDOW_MS),
    quarantine: newInputQuarantine(),
    upstreamLimits: newUpstreamLimits({
      getVisibility: () => ({ members: 1, recentlySeen: 1 }),
      random: Math.random,
    }),
    teamSlots,
    teamShares: { getReport: () => teamSlots.getOwn() },
  };
  let onPeerUpdate = (): void => undefined;
  const sent: string[] = [];
  const metrics: GossipMetrics = {
    countDatagram: (purpose, leavesFailureDomain) =>
      sent.push(`${purpose}${leavesFailureDomain ? ' to another failure domain' : ''}`),
  };
  const hooks = { getState: () => state, onPeerUpdate: () => onPeerUpdate(), metrics };
  const gossip = newGossip(self, newList(others, added), shared, hooks, clock, newSilentLogger());
  running.push(gossip);
  const waitForUpdate = (): Promise<void> =>
    new Promise((resolve) => {
      onPeerUpdate = resolve;
    });
  return { clock, gossip, waitForUpdate, added, sent, ...shared };
};

const newGateway = async (
  vm: string,
  incarnation: string,
  failureDomain = 'zone-1',
): Promise<Gateway> => ({
  vm,
  incarnation,
  address: await getFreeAddress(),
  failureDomain,
});

type Node = ReturnType<typeof newNode>;

/** Makes one node send a datagram and waits until the other has applied it. */
const sendUpdate = async (from: Node, to: Node): Promise<void> => {
  const received = to.waitForUpdate();
  from.gossip.scheduleSend();
  from.clock.advance(100);
  await received;
};

describe('gossip', () => {
  it('reports loads, items and admissions', async () => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const sender = newNode(a, [b]);
    const receiver = newNode(b, [a]);
    sender.upstreamLoads.begin('u1', 'online');
    sender.upstreamLoads.begin('u1', 'batch');
    sender.items.setOwn({
      running: new Map([['u1', [{ dueMs: 18_000.4, remainingMs: 3000 }]]]),
      waiting: new Map([['engines', [{ dueMs: 19_000, remainingMs: 5000 }]]]),
    });
    const rate = { rate: 10, burst: 10 };
    sender.limit.take('team', rate, { members: 2, recentlySeen: 2, oldestUptimeMs: Infinity }, 0);
    await sendUpdate(sender, receiver);

    expect({
      load: receiver.upstreamLoads.getLoad('u1', 0),
      running: receiver.items.getRunning('u1', 0),
      waiting: receiver.items.getWaiting('engines', 0),
      admitted: receiver.limit.getAdmissions(0).has('team'),
    }).toMatchSnapshot();
  });

  it('counts all admissions of a peer although datagrams between them are lost', async () => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const sender = newNode(a, [b]);
    const receiver = newNode(b, [a]);
    const admit = (team: string): void => {
      const visibility = { members: 2, recentlySeen: 2, oldestUptimeMs: Infinity };
      sender.limit.take(team, { rate: 10, burst: 10 }, visibility, sender.clock.monotonic());
    };
    admit('one');
    await sendUpdate(sender, receiver);
    await sendUpdate(sender, receiver);
    admit('two');
    const { port } = b.address;
    Object.assign(b.address, { port: 9 });
    sender.gossip.scheduleSend();
    sender.clock.advance(100);
    Object.assign(b.address, { port });
    admit('one');
    await sendUpdate(sender, receiver);
    Array.from({ length: 2 * RECENT_ADMISSIONS }, () => admit('three'));
    await sendUpdate(sender, receiver);
    await sendUpdate(sender, receiver);

    expect([...receiver.limit.getMark()]).toEqual([
      ['one', 2],
      ['two', 1],
      ['three', 2 * RECENT_ADMISSIONS],
    ]);
  });

  it('reports limits of upstreams and what was sent there', async () => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const sender = newNode(a, [b]);
    const receiver = newNode(b, [a]);
    sender.upstreamLimits.recordResponse('u1/1', 2.5, 0);
    await sendUpdate(sender, receiver);
    sender.upstreamLimits.recordSend('u1/1', 100);
    await sendUpdate(sender, receiver);

    expect(receiver.upstreamLimits.takeSends(200).get('u1/1')).toEqual({
      requestsPerSecond: 2.5,
      own: 0,
      all: 1,
      peak: 1,
    });
  });

  it('reports the slots of teams, and none once their requests have ended', async () => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const sender = newNode(a, [b]);
    const receiver = newNode(b, [a]);
    const holder = { service: 'models', team: 'one', priority: 2 };
    sender.teamSlots.begin(holder);
    await sendUpdate(sender, receiver);
    const whileItRuns = receiver.teamSlots.getHeld('models', 0);
    sender.teamSlots.end(holder);
    await sendUpdate(sender, receiver);

    expect(whileItRuns).toEqual([{ ...holder, slots: 1 }]);
    expect(receiver.teamSlots.getHeld('models', 0)).toEqual([]);
  });

  it('reaches the gateways of another failure domain through one of them', async () => {
    const [a, b, c] = await Promise.all([
      newGateway('vm-a', 'a', 'zone-1'),
      newGateway('vm-b', 'b', 'zone-2'),
      newGateway('vm-c', 'c', 'zone-2'),
    ]);
    const sender = newNode(a, [b, c]);
    // Only `b` is seen by the sender, which then leaves it to `b` to reach `c`.
    const relay = newNode(b, [a, c]);
    await sendUpdate(relay, sender);
    const receiver = newNode(c, []);
    sender.upstreamLoads.begin('u1', 'online');
    const relayed = receiver.waitForUpdate();
    await sendUpdate(sender, relay);
    await relayed;

    expect([relay, receiver].map(({ upstreamLoads }) => upstreamLoads.getLoad('u1', 0))).toEqual([
      { online: 1, batch: 0 },
      { online: 1, batch: 0 },
    ]);
    expect(receiver.added).toEqual([a]);
    expect(sender.sent).toEqual(['own to another failure domain']);
    expect(relay.sent).toContain('relayed');
  });

  it('ignores a datagram that a later one has overtaken', async () => {
    const [a, b, c] = await Promise.all([
      newGateway('vm-a', 'a'),
      newGateway('vm-b', 'b'),
      newGateway('vm-c', 'c'),
    ]);
    const receiver = newNode(b, [a, c]);
    const socket = createSocket('udp4');
    const send = ({ vm, incarnation: from }: Gateway, ageMs: number, online: number): void => {
      const loads = [['u1', online, 0]];
      const content = { from, vm, ageMs, loads, spent: [], running: [], waiting: [], ...SERVING };
      socket.send(JSON.stringify(content), b.address.port, b.address.host);
    };
    send(a, 200, 2);
    await receiver.waitForUpdate();
    send(a, 100, 9);
    send(c, 1, 1);
    await receiver.waitForUpdate();
    socket.close();

    expect(receiver.upstreamLoads.getLoad('u1', 0)).toEqual({ online: 3, batch: 0 });
  });

  it.each<[string, GatewayState]>([
    ['serves', SERVING],
    ['is stopping', { takesJobs: false, reachesStore: true, isServing: false }],
    ['has lost its path to the store', { takesJobs: true, reachesStore: false, isServing: true }],
  ])('reports that a gateway %s', async (_, state) => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const receiver = newNode(b, [a]);
    await sendUpdate(newNode(a, [b], state), receiver);

    expect({
      takesJobs: receiver.gossip.isTakingJobs('a'),
      reachesStore: receiver.gossip.isReachingStore('a'),
      isServing: receiver.gossip.isAnyServing(),
    }).toEqual(state);
  });

  it('ignores the last report of a gateway that has fallen silent', async () => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const receiver = newNode(b, [a]);
    await sendUpdate(newNode(a, [b]), receiver);
    receiver.clock.advance(1000);

    expect([
      receiver.gossip.isRecentlySeen('a'),
      receiver.gossip.isTakingJobs('a'),
      receiver.gossip.isReachingStore('a'),
      receiver.gossip.isAnyServing(),
    ]).toEqual([false, false, false, false]);
    expect(receiver.gossip.isIsolated()).toBe(true);
  });

  it('drops the load of a process once its VM has a new one', async () => {
    const [a, b] = await Promise.all([newGateway('vm-a', 'a'), newGateway('vm-b', 'b')]);
    const receiver = newNode(b, [a]);
    const first = newNode(a, [b]);
    first.upstreamLoads.begin('u1', 'online');
    first.upstreamLoads.begin('u1', 'batch');
    first.teamSlots.begin({ service: 'models', team: 'one', priority: 0 });
    await sendUpdate(first, receiver);
    expect(receiver.upstreamLoads.getLoad('u1', 0)).toEqual({ online: 1, batch: 1 });
    expect(receiver.teamSlots.getHeld('models', 0)).toHaveLength(1);

    const successor = newNode({ ...(await newGateway('vm-a', 'a2')) }, [b]);
    await sendUpdate(successor, receiver);
    expect(receiver.upstreamLoads.getLoad('u1', 0)).toEqual({ online: 0, batch: 0 });
    expect(receiver.teamSlots.getHeld('models', 0)).toEqual([]);
  });
});

// Guards against processor time that each peer spends on reports, which a part of prompts gets for seconds.
describe('reports of suspects', () => {
  const PERIOD_MS = 1000;
  const STEP_MS = 25;
  const MAX_REPORTS = 6;

  const countReports = async (onStep: (gossip: Gossip) => void): Promise<number> => {
    const self = await newGateway('vm-1', 'gw-1');
    const { gossip, clock, quarantine } = newNode(self, [await newGateway('vm-2', 'gw-2')]);
    const getReports = jest.spyOn(quarantine.parts, 'getReports');
    for (let elapsedMs = 0; elapsedMs < PERIOD_MS; elapsedMs += STEP_MS) {
      onStep(gossip);
      clock.advance(STEP_MS);
    }
    return getReports.mock.calls.length;
  };

  it('are in few of the datagrams that loads ask for', async () => {
    const reports = await countReports(({ scheduleSend }) => scheduleSend());
    expect(reports).toBeGreaterThan(1);
    expect(reports).toBeLessThanOrEqual(MAX_REPORTS);
  });

  it('are in the next datagram after what this gateway has seen', async () => {
    const reports = await countReports(({ sendSuspects }) => sendSuspects());
    expect(reports).toBeGreaterThan(MAX_REPORTS);
  });
});
