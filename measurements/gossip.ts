/** Measurement of the work that a gateway does for its peers: building and applying datagrams. */
import { MS_PER_SECOND } from '@anvilpaddle/common';
import type { Gateway } from 'anvilpaddle-app/gateway/gatewayList';
import { startGossipFleet } from './kit/gossipFleet';
import { getMean } from './kit/statistics';
import { printTable } from './kit/table';

const FLEET_SIZES = [32, 38];
const WARM_UP_MS = 3000;
const MEASURED_MS = 5000;
const MICROSECONDS_PER_MS = 1000;

const getSum = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

const measureFleet = (size: number) => {
  /** Times of the steps of each kind, in milliseconds. */
  const receivingMs: number[] = [];
  const sendingMs: number[] = [];
  const bytes: number[] = [];
  const pending: { readonly to: Gateway; readonly content: Buffer }[] = [];
  let isMeasuring = false;

  const measure = (timesMs: number[], run: () => void): void => {
    const startMs = performance.now();
    run();
    if (isMeasuring) timesMs.push(performance.now() - startMs);
  };

  const fleet = startGossipFleet(size, {
    onSend: (_, to, content) => {
      pending.push({ to, content });
      if (isMeasuring) bytes.push(content.length);
    },
    runTimer: (run) => measure(sendingMs, run),
  });
  const members = new Map(fleet.members.map((member) => [member.gateway, member]));

  const run = (durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += fleet.step()) {
      // A datagram that is passed on is added to the list while it is worked off.
      for (let next = pending.pop(); next !== undefined; next = pending.pop()) {
        const { to, content } = next;
        measure(receivingMs, () => members.get(to)?.receive(content));
      }
    }
  };
  run(WARM_UP_MS);
  isMeasuring = true;
  run(MEASURED_MS);
  const getPerSecond = (total: number): number => total / size / (MEASURED_MS / MS_PER_SECOND);
  const getMicroseconds = (timesMs: readonly number[]): string =>
    (getMean(timesMs) * MICROSECONDS_PER_MS).toFixed(1);
  return {
    gateways: size,
    'bytes each': getMean(bytes).toFixed(0),
    'built/s': getPerSecond(sendingMs.length).toFixed(1),
    'µs each to build': getMicroseconds(sendingMs),
    'received/s': getPerSecond(receivingMs.length).toFixed(0),
    'µs each to apply': getMicroseconds(receivingMs),
    'ms/s of a gateway': getPerSecond(getSum([...receivingMs, ...sendingMs])).toFixed(2),
  };
};

/** Prints the processor time of building and applying datagrams, without sockets, by size of the fleet. */
export const measureGossip = (): Promise<void> => {
  printTable('datagrams between gateways', FLEET_SIZES.map(measureFleet));
  return Promise.resolve();
};
