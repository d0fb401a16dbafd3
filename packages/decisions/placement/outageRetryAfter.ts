/** Retry-after times of callers that are refused because the gateway can't serve. */

/** Reason why a gateway can't serve at the moment. */
export const OUTAGE = {
  /** The gateway has started and has not read its configuration yet. */
  starting: 'starting',
  /** The store does not answer; how long the outage lasts is unknown. */
  storeUnavailable: 'storeUnavailable',
} as const;
/** One of the reasons in `OUTAGE`. */
export type Outage = (typeof OUTAGE)[keyof typeof OUTAGE];

/** What the retry-after time depends on. */
export interface OutageContext {
  readonly outage: Outage;
  /** Whether other gateways, which the caller's next attempt reaches, can serve. */
  readonly canOthersServe: boolean;
  /** Time in which the caller wants its response, in milliseconds; undefined if it sent none. */
  readonly budgetMs: number | undefined;
}

/** Retry-after time if another gateway can serve. */
const OTHER_GATEWAY_RETRY_MS = 20;
/** Usual time from the start of a gateway until it has read the configuration. */
const USUAL_START_MS = 300;
/** Maximum retry-after time. */
const MAX_RETRY_AFTER_MS = 1500;
/** Maximum fraction of its time budget that a caller waits before it retries. */
const MAX_BUDGET_FRACTION = 1 / 3;

/**
 * Time after which a refused caller should retry, in milliseconds. Callers retry only once or
 * twice, so while no gateway can serve, the latest retry-after time that they honor gives the best
 * chance of being served.
 */
export const getOutageRetryAfterMs = ({
  outage,
  canOthersServe,
  budgetMs,
}: OutageContext): number => {
  if (canOthersServe) return OTHER_GATEWAY_RETRY_MS;
  const latestMs = Math.min(MAX_RETRY_AFTER_MS, (budgetMs ?? Infinity) * MAX_BUDGET_FRACTION);
  return outage === OUTAGE.starting ? Math.min(USUAL_START_MS, latestMs) : latestMs;
};
