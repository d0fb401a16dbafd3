/** Measurement of a gateway beside senders of large messages that don't end: its memory, and what others get. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import { waitFor } from 'anvilpaddle-app/tests/kit/waitFor';
import { getRunFlags } from 'anvilpaddle-platform/tests/kit/deployFlags';
import {
  addFaultyService,
  callEndlessUpstream,
  sendEndlessBody,
  sendSound,
  type Sender,
} from 'anvilpaddle-platform/tests/kit/endlessSenders';
import { startRawServer } from 'anvilpaddle-platform/tests/kit/rawServer';
import { startTestCluster } from 'anvilpaddle-platform/tests/kit/testCluster';
import { getQuantile } from './kit/statistics';
import { printTable } from './kit/table';

const SENDER_COUNTS = [0, 8, 24, 48];
/** Clients that send one sound request after the other. */
const SOUND_CLIENTS = 4;
const DURATION_MS = 5 * MS_PER_SECOND;

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
