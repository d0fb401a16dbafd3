/** Sends requests to upstreams, and reads what each response says of its upstream. */
import type { Clock, HttpCallResult, Logger } from '@anvilpaddle/common';
import type { UpstreamLimits } from '@anvilpaddle/decisions';
import type { CallerProtocol, StatusReading } from './callerProtocol';
import type { Upstream } from './types';
import { callUpstream, type UpstreamRequest } from './upstreamCall';

/** Reasons for which a request is sent to an upstream. */
export const SEND_REASON = {
  /** First attempt of an online request. */
  request: 'request',
  /** Further attempt of an online request. */
  retry: 'retry',
  /** Second attempt of an online request, beside a first one that is slow. */
  hedge: 'hedge',
  /** First run of a batch item. */
  item: 'item',
  /** Further run of a batch item. */
  resumption: 'resumption',
} as const;
/** One of the reasons. */
export type SendReason = (typeof SEND_REASON)[keyof typeof SEND_REASON];

/** Request to an upstream, whose address the client adds. */
export type AddressedRequest = Omit<UpstreamRequest, 'address'>;

/** Client of all upstreams. */
export interface UpstreamClient {
  /** Sends a request and waits for the head of its response; aborting closes the connection. */
  send(
    upstream: Upstream,
    request: AddressedRequest,
    reason: SendReason,
    signal: AbortSignal,
  ): Promise<HttpCallResult>;
}

/** Counters of the client. */
export interface UpstreamMetrics {
  /** Counts a request to an upstream. */
  countSend(reason: SendReason, isLimited: boolean): void;
  /** Counts a response whose status of its upstream can't be used. */
  countUnusableStatus(): void;
}

/** Creates a client. */
export const newUpstreamClient = (
  { getUpstreamStatus }: Pick<CallerProtocol, 'getUpstreamStatus'>,
  limits: Pick<
    UpstreamLimits,
    'recordSend' | 'recordUnsent' | 'recordResponse' | 'getRequestsPerSecond'
  >,
  reportLeaving: (upstream: Upstream) => void,
  metrics: UpstreamMetrics,
  clock: Clock,
  log: Logger,
): UpstreamClient => {
  const applyStatus = (upstream: Upstream, reading: StatusReading): void => {
    const { id, incarnation } = upstream;
    if (reading.kind === 'status') {
      const { requestsPerSecond, isLeaving } = reading.status;
      limits.recordResponse(incarnation, requestsPerSecond, clock.monotonic());
      if (isLeaving) reportLeaving(upstream);
      return;
    }
    if (reading.kind === 'none') return;
    metrics.countUnusableStatus();
    log.warn({ upstream: id, detail: reading.detail }, 'unusable upstream status');
  };

  return {
    send: async (upstream, request, reason, signal) => {
      const { address, incarnation } = upstream;
      const nowMs = clock.monotonic();
      metrics.countSend(reason, limits.getRequestsPerSecond(incarnation, nowMs) !== undefined);
      limits.recordSend(incarnation, nowMs);
      const result = await callUpstream({ ...request, address }, signal, clock);
      if (result.kind === 'not_sent') limits.recordUnsent(incarnation, clock.monotonic());
      if (result.kind === 'answered') {
        const { statusCode = 0, headers } = result.message;
        applyStatus(upstream, getUpstreamStatus(statusCode, headers));
      }
      return result;
    },
  };
};
