/** Counters and latency histograms of a gateway, served as text; the labels are bounded in number. */
import { createServer } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { getErrorMessage, listen, type Address, type Logger } from '@anvilpaddle/common';
import type { OnlineOutcome } from './onlineRequest';
import type { Route } from './types';

const LATENCY_BUCKETS_MS = [10, 25, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000];

/** What a gateway counts. */
export interface GatewayMetrics {
  /** An online request ended. */
  countRequest(route: Route, outcome: OnlineOutcome): void;
  /** A request was turned away before it reached an upstream. */
  countRefusal(status: number): void;
  text(): Promise<string>;
}

/** What the gauges show. */
export interface GatewayGauges {
  readonly getActive: () => number;
  readonly getJobs: () => number;
  readonly getPeers: () => number;
}

/** Metrics of one gateway. */
export const newGatewayMetrics = (gauges: GatewayGauges): GatewayMetrics => {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'anvilpaddle_requests_total',
    help: 'Online requests by kind of route and result',
    labelNames: ['kind', 'result'],
    registers,
  });
  const refusals = new Counter({
    name: 'anvilpaddle_refusals_total',
    help: 'Requests turned away before an upstream, by status',
    labelNames: ['status'],
    registers,
  });
  const firstByte = new Histogram({
    name: 'anvilpaddle_first_byte_ms',
    help: 'Time to the first byte of the answer in milliseconds',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_MS,
    registers,
  });
  const addGauge = (name: string, help: string, getValue: () => number): Gauge =>
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(getValue());
      },
    });
  addGauge('anvilpaddle_active_requests', 'Requests being served', gauges.getActive);
  addGauge('anvilpaddle_owned_jobs', 'Open jobs that this gateway runs', gauges.getJobs);
  addGauge('anvilpaddle_peers', 'Other gateways that may be at work', gauges.getPeers);

  return {
    countRequest: ({ kind }, { result, firstByteMs }) => {
      requests.inc({ kind, result });
      if (firstByteMs !== undefined) firstByte.observe({ kind }, firstByteMs);
    },
    countRefusal: (status) => refusals.inc({ status: String(status) }),
    text: () => registry.metrics(),
  };
};

/** Serves the metrics at an address. */
export const serveMetrics = async (
  address: Address,
  metrics: GatewayMetrics,
  log: Logger,
): Promise<void> => {
  const server = createServer((_, response) => {
    metrics
      .text()
      .then((text) => response.end(text))
      .catch((fault: unknown) => {
        log.warn({ reason: getErrorMessage(fault) }, 'metrics not served');
        response.destroy();
      });
  });
  await listen(server, address);
};
