/** Counters and latency histograms of a gateway as text, with a bounded number of label values. */
import { createServer } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import {
  getErrorMessage,
  HELD_FOR,
  listen,
  type Address,
  type HeldFor,
  type Logger,
} from '@anvilpaddle/common';
import type { GossipMetrics } from './gossipSocket';
import type { AttemptMetrics, OnlineOutcome } from './online/types';
import { readProcessMemory, type ProcessMemory } from './processMemory';
import type { Route } from './types';
import type { UpstreamMetrics } from './upstreamClient';

/** Largest number of teams with a label value of their own, in the order in which they come. */
const MAX_TEAM_LABELS = 20;
/** Label value of the other teams. */
const OTHER_TEAMS = 'other';

const LATENCY_BUCKETS_MS = [10, 25, 50, 75, 100, 150, 200, 300, 500, 1000, 2000, 5000];

const MEMORY_GAUGES: Readonly<Record<keyof ProcessMemory, { name: string; help: string }>> = {
  ownBytes: {
    name: 'anvilpaddle_own_memory_bytes',
    help: 'Resident memory of the process without mapped files',
  },
  peakResidentBytes: {
    name: 'anvilpaddle_peak_resident_bytes',
    help: 'Largest resident memory of the process so far, with mapped files',
  },
  heapBytes: {
    name: 'anvilpaddle_heap_bytes',
    help: 'Objects of the heap, with garbage that is not collected yet',
  },
  bufferBytes: {
    name: 'anvilpaddle_buffer_bytes',
    help: 'Buffers outside the heap, with garbage that is not collected yet',
  },
};

/** Why a run of a batch item was ended so that another one goes on with the item. */
export const YIELD_REASON = {
  /** An online request needed the slot. */
  online: 'online',
  /** The run was slow. */
  slow: 'slow',
} as const;
/** One of the reasons. */
export type YieldReason = (typeof YIELD_REASON)[keyof typeof YIELD_REASON];

/** Metrics of one gateway. */
export interface GatewayMetrics extends AttemptMetrics, UpstreamMetrics, GossipMetrics {
  /** Counts an online request that has ended. */
  countRequest(route: Route, outcome: OnlineOutcome): void;
  /** Counts a request that was refused before it reached an upstream. */
  countRefusal(status: number): void;
  /** Counts an upstream whose process ended with requests of this gateway. */
  countUpstreamCrash(): void;
  /** Counts a response by which its upstream says that it leaves. */
  countLeaving(): void;
  /** Counts a run of a batch item that was ended so that another one goes on with the item. */
  countItemYield(reason: YieldReason): void;
  /** All metrics in Prometheus's text format. */
  text(): Promise<string>;
}

/** Current values of the gauges. */
export interface GatewayGauges {
  readonly getActive: () => number;
  readonly getJobs: () => number;
  readonly getPeers: () => number;
  readonly getQuarantinedParts: () => number;
  readonly getQuarantinedRequests: () => number;
  readonly getLimitedUpstreams: () => number;
  readonly getColdUpstreams: () => number;
  readonly getColdRateUsed: () => number;
  readonly getEvacuatedFailureDomains: () => number;
  readonly getTeamsOverShare: () => number;
  readonly getViewAgeMs: () => number;
  readonly getHeldBytes: (heldFor: HeldFor) => number;
  readonly getMaxHeldBytes: (heldFor: HeldFor) => number;
  readonly getWaitingForRoom: () => number;
}

/** Creates the metrics in a registry of their own. */
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
  const shareRefusals = new Counter({
    name: 'anvilpaddle_share_refusals_total',
    help: 'Requests refused because their team was over its share of scarce capacity, by team',
    labelNames: ['team'],
    registers,
  });
  const labelledTeams = new Set<string>();
  const getTeamLabel = (team: string): string => {
    if (labelledTeams.size < MAX_TEAM_LABELS) labelledTeams.add(team);
    return labelledTeams.has(team) ? team : OTHER_TEAMS;
  };
  const responseEnds = new Counter({
    name: 'anvilpaddle_response_ends_total',
    help: 'Bodies of upstreams’ responses by delimiter, end and whether a stream stopped inside an event',
    labelNames: ['delimiter', 'end', 'inside_event'],
    registers,
  });
  const upstreamCrashes = new Counter({
    name: 'anvilpaddle_upstream_crashes_total',
    help: 'Upstreams whose process ended unannounced, with requests of this gateway aboard',
    registers,
  });
  const silences = new Counter({
    name: 'anvilpaddle_upstream_silences_total',
    help: 'Silences of upstreams during online attempts',
    registers,
  });
  const hedges = new Counter({
    name: 'anvilpaddle_hedges_total',
    help: 'Second attempts beside a slow first one, by how they ended',
    labelNames: ['end'],
    registers,
  });
  const sends = new Counter({
    name: 'anvilpaddle_upstream_sends_total',
    help: 'Requests sent to upstreams, by reason and whether the upstream had named a limit',
    labelNames: ['reason', 'limited'],
    registers,
  });
  const leavingResponses = new Counter({
    name: 'anvilpaddle_leaving_responses_total',
    help: 'Responses in which upstreams say that they leave',
    registers,
  });
  const unusableStatuses = new Counter({
    name: 'anvilpaddle_unusable_upstream_statuses_total',
    help: 'Responses whose statement about their upstream makes no sense or is of another process',
    registers,
  });
  const itemYields = new Counter({
    name: 'anvilpaddle_item_yields_total',
    help: 'Runs of batch items that were ended for another run of the item, by reason',
    labelNames: ['reason'],
    registers,
  });
  const datagrams = new Counter({
    name: 'anvilpaddle_gossip_datagrams_total',
    help: 'Datagrams sent to gateways, by purpose and whether they leave the failure domain',
    labelNames: ['purpose', 'leaves_failure_domain'],
    registers,
  });
  const datagramBytes = new Counter({
    name: 'anvilpaddle_gossip_bytes_total',
    help: 'Bytes of datagrams sent to gateways, by purpose and whether they leave the failure domain',
    labelNames: ['purpose', 'leaves_failure_domain'],
    registers,
  });
  const firstByte = new Histogram({
    name: 'anvilpaddle_first_byte_ms',
    help: 'Time to the first byte of the answer in milliseconds',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_MS,
    registers,
  });
  const addGauge = (name: string, help: string, getValue: () => number | Promise<number>): Gauge =>
    new Gauge({
      name,
      help,
      registers,
      async collect() {
        this.set(await getValue());
      },
    });
  Object.values(HELD_FOR).forEach((heldFor) => {
    addGauge(`anvilpaddle_held_${heldFor}_bytes`, `Bytes that are held for: ${heldFor}`, () =>
      gauges.getHeldBytes(heldFor),
    );
    addGauge(
      `anvilpaddle_max_held_${heldFor}_bytes`,
      `Bytes that may be held for: ${heldFor}`,
      () => gauges.getMaxHeldBytes(heldFor),
    );
  });
  Object.entries(MEMORY_GAUGES).forEach(([field, { name, help }]) =>
    addGauge(name, help, async () => (await readProcessMemory())[field as keyof ProcessMemory]),
  );
  addGauge(
    'anvilpaddle_waiting_for_room',
    'Reads of stored bytes that wait for memory',
    gauges.getWaitingForRoom,
  );
  addGauge('anvilpaddle_active_requests', 'Requests being served', gauges.getActive);
  addGauge('anvilpaddle_owned_jobs', 'Open jobs that this gateway runs', gauges.getJobs);
  addGauge('anvilpaddle_peers', 'Other gateways that may be at work', gauges.getPeers);
  addGauge(
    'anvilpaddle_quarantined_parts',
    'Parts of prompts that are kept from all upstreams',
    gauges.getQuarantinedParts,
  );
  addGauge(
    'anvilpaddle_quarantined_requests',
    'Requests that are kept from all upstreams, each however often it comes',
    gauges.getQuarantinedRequests,
  );
  addGauge(
    'anvilpaddle_limited_upstreams',
    'Upstreams that name a limit for the requests of all gateways',
    gauges.getLimitedUpstreams,
  );
  addGauge(
    'anvilpaddle_cold_upstreams',
    'Upstreams that have just started, or become cold again, and are slow for now',
    gauges.getColdUpstreams,
  );
  addGauge(
    'anvilpaddle_cold_rate_used_fraction',
    'Requests of all gateways in the last second, of those that the cold upstreams take in one',
    gauges.getColdRateUsed,
  );
  addGauge(
    'anvilpaddle_evacuated_failure_domains',
    'Failure domains whose upstreams the operators want to get nothing more',
    gauges.getEvacuatedFailureDomains,
  );
  addGauge(
    'anvilpaddle_teams_over_share',
    'Teams that hold more slots than their share of scarce capacity',
    gauges.getTeamsOverShare,
  );
  addGauge(
    'anvilpaddle_view_age_ms',
    'Mean time since the last datagrams of the gateways that were seen recently',
    gauges.getViewAgeMs,
  );

  return {
    countRequest: ({ kind }, { result, firstByteMs }) => {
      requests.inc({ kind, result });
      if (firstByteMs !== undefined) firstByte.observe({ kind }, firstByteMs);
    },
    countRefusal: (status) => refusals.inc({ status: String(status) }),
    countResponseEnd: ({ delimiter, bodyEnd, unfinishedBytes }) =>
      responseEnds.inc({ delimiter, end: bodyEnd, inside_event: String(unfinishedBytes > 0) }),
    countSilence: () => silences.inc(),
    countHedge: (end) => hedges.inc({ end }),
    countShareRefusal: (team) => shareRefusals.inc({ team: getTeamLabel(team) }),
    countUpstreamCrash: () => upstreamCrashes.inc(),
    countSend: (reason, isLimited) => sends.inc({ reason, limited: String(isLimited) }),
    countItemYield: (reason) => itemYields.inc({ reason }),
    countLeaving: () => leavingResponses.inc(),
    countUnusableStatus: () => unusableStatuses.inc(),
    countDatagram: (purpose, leavesFailureDomain, bytes) => {
      const labels = { purpose, leaves_failure_domain: String(leavesFailureDomain) };
      datagrams.inc(labels);
      datagramBytes.inc(labels, bytes);
    },
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
      .catch((error: unknown) => {
        log.warn({ reason: getErrorMessage(error) }, 'metrics not served');
        response.destroy();
      });
  });
  await listen(server, address);
};
