/** Headers, paths and states that all processes use. */

/** Headers that processes of the system exchange; `x-request-id` also goes to callers. */
export const HEADER = {
  attempt: 'x-anvilpaddle-attempt',
  attemptId: 'x-anvilpaddle-attempt-id',
  refusal: 'x-anvilpaddle-refusal',
  load: 'x-anvilpaddle-load',
  /** Time, in milliseconds, that an attempt waited for a slot. */
  queueWait: 'x-anvilpaddle-queue-wait',
  /** Sender and sequence number of a call between processes. */
  exchange: 'x-anvilpaddle-exchange',
  /** Request id, as shown to callers. */
  requestId: 'x-request-id',
} as const;

/** Prefix of the headers that must not leave the system. */
export const INTERNAL_HEADER_PREFIX = 'x-anvilpaddle-';

/** Paths on which processes serve each other. */
export const PEER_PATH = { rpc: '/rpc', attempts: '/attempts' } as const;

/** Whether a request that ended with an error ran at an upstream. */
export const RUN_STATE = { notRun: 'not_run', unknown: 'unknown', ran: 'ran' } as const;
export type RunState = (typeof RUN_STATE)[keyof typeof RUN_STATE];
