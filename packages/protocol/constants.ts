/** Headers between entry and sidecar. */
export const HEADER = {
  attempt: 'x-anvilpaddle-attempt',
  attemptId: 'x-anvilpaddle-attempt-id',
  refusal: 'x-anvilpaddle-refusal',
  load: 'x-anvilpaddle-load',
  /** Request id shown to callers. */
  requestId: 'x-request-id',
} as const;

/** Paths between processes. */
export const PEER_PATH = { rpc: '/rpc', attempts: '/attempts' } as const;

/** Whether a refused request ran at an upstream. */
export const RUN_STATE = { notRun: 'not_run', unknown: 'unknown', ran: 'ran' } as const;
export type RunState = (typeof RUN_STATE)[keyof typeof RUN_STATE];
