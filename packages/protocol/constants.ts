/** Headers between entry and sidecar. */
export const HEADER = {
  attempt: 'x-anvilpaddle-attempt',
  attemptId: 'x-anvilpaddle-attempt-id',
  refusal: 'x-anvilpaddle-refusal',
  load: 'x-anvilpaddle-load',
  /** Time that an attempt waited for a slot, in milliseconds. */
  queueWait: 'x-anvilpaddle-queue-wait',
  /** Sender and sequence number of an exchange between processes. */
  exchange: 'x-anvilpaddle-exchange',
  /** Request id shown to callers. */
  requestId: 'x-request-id',
} as const;

/** Start of every header that stays between our own processes. */
export const INTERNAL_HEADER_PREFIX = 'x-anvilpaddle-';

/** Paths between processes. */
export const PEER_PATH = { rpc: '/rpc', attempts: '/attempts' } as const;

/** Whether a refused request ran at an upstream. */
export const RUN_STATE = { notRun: 'not_run', unknown: 'unknown', ran: 'ran' } as const;
export type RunState = (typeof RUN_STATE)[keyof typeof RUN_STATE];
