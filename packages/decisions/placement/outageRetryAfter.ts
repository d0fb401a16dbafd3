/** Why a gateway can not serve at the moment. */
export const OUTAGE = {
  /** It has started and reads what it needs. */
  starting: 'starting',
  /** The store does not answer, for no one knows how long. */
  storeUnavailable: 'storeUnavailable',
} as const;
export type Outage = (typeof OUTAGE)[keyof typeof OUTAGE];

/** What the time to come back after an outage goes by. */
export interface OutageContext {
  readonly outage: Outage;
  /** Whether other gateways, to which the caller's next try goes, can serve it. */
  readonly canOthersServe: boolean;
  /** Time in which the caller wants its answer, in milliseconds; undefined when it did not tell. */
  readonly budgetMs: number | undefined;
}

/** Another gateway can serve at once. */
const OTHERS_MS = 20;
/** Usual time from a start until the configuration is read. */
const STARTING_MS = 300;
/** Longest time that is asked of callers. */
const LONGEST_MS = 1500;
/** Part of its budget for which a caller waits at most before it tries again. */
const HEEDED_PART = 1 / 3;

/**
 * Time after which a caller should come back, in milliseconds. Callers come back only once or twice, so
 * that while no gateway can serve, the latest return that they heed is the most likely to be served.
 */
export const getOutageRetryAfterMs = ({
  outage,
  canOthersServe,
  budgetMs,
}: OutageContext): number => {
  if (canOthersServe) return OTHERS_MS;
  const heededMs = Math.min(LONGEST_MS, (budgetMs ?? Infinity) * HEEDED_PART);
  return outage === OUTAGE.starting ? Math.min(STARTING_MS, heededMs) : heededMs;
};
