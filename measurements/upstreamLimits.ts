/** Measurement of the limits that upstreams name: bytes and processor time of reports and decisions. */
import { newSeededRandom } from '@anvilpaddle/common';
import {
  newUpstreamLimits,
  URGENCY,
  type ColdRate,
  type UpstreamLimits,
} from '@anvilpaddle/decisions';
import { decodeLimitReports, encodeLimitReports } from 'anvilpaddle-app/gateway/limitReport';
import { printTable } from './kit/table';

const REPORTED_UPSTREAMS = [1, 10, 100, 1000];
const LIMIT = 2.4;
const COLD: ColdRate = { requestsPerSecond: 29, untilMs: Infinity };
const ROUNDS = 200;
const US_PER_MS = 1000;
/** Time between two rounds, so that buckets change. */
const ROUND_MS = 25;

const getUpstream = (index: number): string =>
  `i-${index.toString(16).padStart(10, '0')}/1788917307209`;

const newLimits = (seed: number): UpstreamLimits =>
  newUpstreamLimits({
    getVisibility: () => ({ members: 8, recentlySeen: 8 }),
    random: newSeededRandom(seed),
  });

/** Mean time of a round in microseconds. */
const measureRound = (run: (nowMs: number) => void): number => {
  const startedMs = performance.now();
  for (let round = 1; round <= ROUNDS; round += 1) run(round * ROUND_MS);
  return ((performance.now() - startedMs) * US_PER_MS) / ROUNDS;
};

const measureUpstreams = (count: number, areCold: boolean) => {
  const upstreams = Array.from({ length: count }, (_, index) => getUpstream(index));
  const sender = newLimits(1);
  const receiver = newLimits(2);
  upstreams.forEach((upstream) => {
    [sender, receiver].forEach((limits) => {
      if (areCold) limits.setColdRate(upstream, COLD, 0);
      else limits.recordResponse(upstream, LIMIT, 0);
    });
  });
  let text = '';
  const sendUs = measureRound((nowMs) => {
    upstreams.forEach((upstream) => sender.recordSend(upstream, nowMs));
    text = JSON.stringify(encodeLimitReports(sender.getReports(nowMs)));
  });
  const receiveUs = measureRound((nowMs) =>
    receiver.updatePeer('peer', decodeLimitReports(JSON.parse(text)), nowMs),
  );
  const decideUs = measureRound((nowMs) =>
    upstreams.forEach((upstream) => receiver.getWaitMs(upstream, URGENCY.online, nowMs)),
  );
  return {
    'upstreams in a report': count,
    bytes: text.length,
    'µs to build': sendUs.toFixed(1),
    'µs to apply': receiveUs.toFixed(1),
    'µs to decide on all': decideUs.toFixed(1),
  };
};

/** Measures the cost by the number of upstreams in a report. */
export const measureUpstreamLimits = (): Promise<void> => {
  // The first pass warms the code up.
  const measure = (areCold: boolean) =>
    REPORTED_UPSTREAMS.map((count) => measureUpstreams(count, areCold));
  [false, true].forEach(measure);
  printTable('Limits that upstreams name', measure(false));
  printTable('Cold upstreams', measure(true));
  return Promise.resolve();
};
