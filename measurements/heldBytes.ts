/** Measurement of a gateway beside senders of large messages that don't end: its memory, and what others get. */
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { BYTES_PER_KIB, MS_PER_SECOND } from '@anvilpaddle/common';
import { waitFor } from 'anvilpaddle-app/tests/kit/waitFor';
import { getRunFlags } from 'anvilpaddle-platform/tests/kit/deployFlags';
import { ENDING, startRawServer, type RawServer } from 'anvilpaddle-platform/tests/kit/rawServer';
import {
  HOST,
  KEY,
  newRoutes,
  startTestCluster,
  type GatewayProcess,
  type TestCluster,
} from 'anvilpaddle-platform/tests/kit/testCluster';
import { getQuantile } from './kit/statistics';
import { printTable } from './kit/table';

const SENDER_COUNTS = [0, 8, 24, 48];
/** Clients that send one sound request after the other. */
const SOUND_CLIENTS = 4;
const DURATION_MS = 5 * MS_PER_SECOND;
const FAULTY_SERVICE = 'faulty';
const REPEATED = Buffer.alloc(64 * BYTES_PER_KIB, 'x');
/** Pause of a sender before it sends again. */
const SENDER_PAUSE_MS = 500;
/** Bytes that a caller sends of a body that has twice as many. */
const CALLER_BYTES = 3_000_000;

/** Sends again and again until the time is up. */
type Sender = (cluster: TestCluster, untilMs: number) => Promise<void>;

/** Client of a safe route whose upstream answers without end. */
const callEndlessUpstream: Sender = async (cluster, untilMs) => {
  while (performance.now() < untilMs) {
    await cluster.call(cluster.gateways[0], {
      path: `/${FAULTY_SERVICE}/endless`,
      headers: { 'request-id': `endless-${Math.random()}`, 'deadline-ms': '2000' },
    });
    await sleep(SENDER_PAUSE_MS);
  }
};

const openEndlessCaller = ({ frontPort }: GatewayProcess): Socket => {
  const socket = connect(frontPort, '127.0.0.1');
  const head = [
    'POST /unsafe/endless HTTP/1.1',
    `Host: ${HOST}`,
    `Request-Id: endless-${Math.random()}`,
    'Deadline-Ms: 2000',
    `Authorization: Bearer ${KEY}`,
    `Content-Length: ${2 * CALLER_BYTES}`,
  ];
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  socket.write(Buffer.alloc(CALLER_BYTES, 'x'));
  return socket;
};

/** Caller whose bodies don't end. */
const sendEndlessBody: Sender = async ({ gateways: [gateway] }, untilMs) => {
  if (gateway === undefined) return;
  while (performance.now() < untilMs) {
    const socket = openEndlessCaller(gateway);
    await Promise.race([
      new Promise((resolve) => {
        socket.on('close', resolve);
      }),
      sleep(untilMs - performance.now()),
    ]);
    socket.destroy();
    await sleep(SENDER_PAUSE_MS);
  }
};

/** Sends sound requests one after the other; returns the durations of those that were served. */
const sendSound: (cluster: TestCluster, untilMs: number) => Promise<number[]> = async (
  cluster,
  untilMs,
) => {
  const durationsMs: number[] = [];
  while (performance.now() < untilMs) {
    const startedMs = performance.now();
    const { status, isWhole } = await cluster.call(cluster.gateways[0], {
      path: '/safe/sound',
      headers: { 'request-id': `sound-${Math.random()}`, 'deadline-ms': '2000' },
    });
    if (status === 200 && isWhole) durationsMs.push(performance.now() - startedMs);
  }
  return durationsMs;
};

const addFaultyService = (cluster: TestCluster, { address, respondWith }: RawServer): void => {
  const [route] = newRoutes();
  const faultyRoute = { ...route, name: 'faulty', prefix: `/${FAULTY_SERVICE}/` };
  cluster.putConfig({
    routes: [...newRoutes(), { ...faultyRoute, service: FAULTY_SERVICE }],
    services: ['models', FAULTY_SERVICE].map((name) => ({
      name,
      health_path: '/healthz',
      max_conns: 100,
    })),
  });
  cluster.registerWorker(
    { id: 'faulty-1', address: `${address.host}:${address.port}` },
    { service: FAULTY_SERVICE, slots: 64 },
  );
  respondWith((request) => {
    const id = /^request-id: *(.*)$/im.exec(request)?.[1] ?? '';
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Stamp: stamp\r\n`;
    const bytes = Buffer.from(`${head}Content-Type: text/plain\r\nConnection: close\r\n\r\n`);
    return { bytes, repeated: REPEATED, ending: ENDING.fin };
  });
};

const measureSenders = async (title: string, send: Sender): Promise<void> => {
  const rows = [];
  for (const senders of SENDER_COUNTS) {
    const cluster = await startTestCluster(1, 2, getRunFlags());
    const server = await startRawServer();
    addFaultyService(cluster, server);
    await waitFor('a served request', async () => {
      const untilMs = performance.now() + 1;
      return (await sendSound(cluster, untilMs)).length > 0;
    });
    const untilMs = performance.now() + DURATION_MS;
    const [sound] = await Promise.all([
      Promise.all(Array.from({ length: SOUND_CLIENTS }, () => sendSound(cluster, untilMs))),
      Promise.all(Array.from({ length: senders }, () => send(cluster, untilMs))),
    ]);
    const durationsMs = sound.flat();
    const [gateway] = cluster.gateways;
    rows.push({
      senders,
      'sound/s': (durationsMs.length / (DURATION_MS / MS_PER_SECOND)).toFixed(0),
      'p99 ms': getQuantile(durationsMs, 0.99).toFixed(0),
      'peak MB': gateway?.getPeakMemoryMb().toFixed(0) ?? '',
      ended: String(gateway?.hasEnded() === true),
    });
    await cluster.close();
    await server.close();
  }
  printTable(title, rows);
};

/** Prints memory and the rate and p99 of sound requests by the number of senders. */
export const measureHeldBytes = async (): Promise<void> => {
  await measureSenders('responses without end, from one upstream', callEndlessUpstream);
  await measureSenders('request bodies that don’t end', sendEndlessBody);
};
