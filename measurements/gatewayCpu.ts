/** Measurement of the processor time of one gateway process among many peers, with a low load of requests. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { Gateway } from 'anvilpaddle-app/gateway/gatewayList';
import { getRunFlags } from 'anvilpaddle-platform/tests/kit/deployFlags';
import { startTestCluster } from 'anvilpaddle-platform/tests/kit/testCluster';
import { getServedShare, sendStream, startTraffic } from 'anvilpaddle-platform/tests/kit/traffic';
import { startGossipFleet } from './kit/gossipFleet';
import { getProcessUsage } from './kit/processUsage';
import { printTable } from './kit/table';

const PEERS = 37;
const WORKERS = 34;
const WARM_UP_MS = 10 * MS_PER_SECOND;
const MEASURED_MS = 20 * MS_PER_SECOND;
const REQUEST_INTERVAL_MS = 250;
/** Of the datagrams between the peers, one in so many is delivered. */
const PEER_DATAGRAMS_PER_DELIVERY = 11;
const EVENT_INTERVAL_MS = 30;
/** Workers renew their records at this interval, so that the watch of the list has changes. */
const WORKER_HEARTBEAT_MS = 1200;
/** Interval at which the peers are brought up to the time. */
const STEP_INTERVAL_MS = 2;
/** Flags to pass on to the gateway, for a profile of it. */
const EXTRA_FLAGS = (process.env.GATEWAY_FLAGS ?? '').split(' ').filter((flag) => flag !== '');

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Times at which the process waited and went on, since its start. */
const getContextSwitches = (pid: number): number =>
  Number(
    /^voluntary_ctxt_switches:\s+(\d+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1],
  );

/** Prints the use of a gateway among 37 peers, of which the measurement sends the datagrams. */
export const measureGatewayCpu = async (): Promise<void> => {
  const cluster = await startTestCluster(1, WORKERS, [...getRunFlags(), ...EXTRA_FLAGS]);
  const [gateway] = cluster.gateways;
  if (gateway === undefined) return;
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  let received = 0;
  socket.on('message', () => {
    received += 1;
  });
  const sink = { host: '127.0.0.1', port: socket.address().port };
  const measured: Gateway = {
    vm: 'vm-1',
    incarnation: 'measured',
    address: { host: '127.0.0.1', port: gateway.peerPort },
    failureDomain: 'zone-1',
  };
  let sent = 0;
  let othersSent = 0;
  const pending: { readonly to: Gateway; readonly content: Buffer }[] = [];
  const fleet = startGossipFleet(
    PEERS,
    {
      onSend: (_, to, content) => {
        if (to.incarnation === measured.incarnation) {
          sent += 1;
          socket.send(content, to.address.port, to.address.host);
          return;
        }
        // Peers hear enough of each other to know the admissions of all, at a low cost.
        othersSent += 1;
        if (othersSent % PEER_DATAGRAMS_PER_DELIVERY === 0) pending.push({ to, content });
      },
    },
    [measured],
    // Without relays, each of their datagrams comes to the measured gateway from its sender.
    1,
  );
  const writePeers = (): void =>
    fleet.members.forEach(({ gateway: { vm, incarnation, failureDomain } }) =>
      cluster.store.putRow('gateways', vm, {
        incarnation,
        ...sink,
        failureDomain,
        atStoreMs: 0,
        spent: [],
      }),
    );
  const members = new Map(fleet.members.map((member) => [member.gateway, member]));
  const startedMs = performance.now();
  let fleetMs = 0;
  const advance = (): void => {
    while (fleetMs < performance.now() - startedMs) fleetMs += fleet.step();
    pending.splice(0).forEach(({ to, content }) => members.get(to)?.receive(content));
  };
  const timers = [
    setInterval(advance, STEP_INTERVAL_MS),
    setInterval(writePeers, MS_PER_SECOND),
    setInterval(
      () => cluster.workers.forEach((worker) => cluster.registerWorker(worker)),
      WORKER_HEARTBEAT_MS,
    ),
  ];
  writePeers();
  const traffic = startTraffic(
    () => sendStream(cluster, gateway, EVENT_INTERVAL_MS),
    REQUEST_INTERVAL_MS,
  );
  await sleep(WARM_UP_MS);
  const [before, switches, sentBefore, receivedBefore] = [
    getProcessUsage(gateway.pid),
    getContextSwitches(gateway.pid),
    sent,
    received,
  ];
  await sleep(MEASURED_MS);
  const after = getProcessUsage(gateway.pid);
  const seconds = MEASURED_MS / MS_PER_SECOND;
  printTable('a gateway process among peers', [
    {
      peers: PEERS,
      'CPU ms/s': ((after.cpuMs - before.cpuMs) / seconds).toFixed(1),
      'in the kernel': ((after.systemMs - before.systemMs) / seconds).toFixed(1),
      'received/s': ((sent - sentBefore) / seconds).toFixed(0),
      'sent/s': ((received - receivedBefore) / seconds).toFixed(0),
      'waits/s': ((getContextSwitches(gateway.pid) - switches) / seconds).toFixed(0),
      'served, %': (100 * getServedShare(traffic.replies)).toFixed(0),
      'resident MB': (after.residentBytes / 1e6).toFixed(0),
    },
  ]);
  timers.forEach((timer) => clearInterval(timer));
  await traffic.stop();
  // With SIGTERM, a profile of the process is written.
  if (EXTRA_FLAGS.length > 0) await gateway.terminate();
  socket.close();
  await cluster.close();
};
