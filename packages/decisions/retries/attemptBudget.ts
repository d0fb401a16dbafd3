/**
 * Upstreams to which one request may be sent. A request that was sent may have run, unless the upstream
 * says that it has not: whether its answer was lost, taken from another upstream or no longer waited for.
 */

/** Attempts of one request by the ids of their upstreams. */
export interface AttemptBudget {
  /** Counts an attempt that is about to be sent. */
  begin(upstream: string): void;
  /** The upstream says that it has not run the request, or has never received it. */
  reject(upstream: string): void;
  /** Lets upstreams that have rejected the request be tried again. */
  readmit(upstreams: Iterable<string>): void;
  /** The attempt was given up although its upstream may be sound: it may be tried again. */
  giveUp(upstream: string): void;
  /** Whether the request may be sent to the upstream now. */
  allows(upstream: string): boolean;
  /** Upstreams that may have run the request and get no further attempt. */
  countUsed(): number;
  /** Whether any upstream may have run the request. */
  mayHaveRun(): boolean;
  /** Whether no attempt has been begun. */
  isUnused(): boolean;
}

/** Creates the budget of a request that may be sent to `maxUpstreams` at most. */
export const newAttemptBudget = (maxUpstreams: number): AttemptBudget => {
  const ranAt = new Set<string>();
  /** Upstreams that get no attempt now. */
  const excluded = new Set<string>();
  /** Upstreams that may have run the request in an earlier attempt than the one that runs there. */
  const ranBefore = new Set<string>();

  return {
    begin: (upstream) => {
      if (ranAt.has(upstream)) ranBefore.add(upstream);
      ranAt.add(upstream);
      excluded.add(upstream);
    },
    reject: (upstream) => {
      if (!ranBefore.has(upstream)) ranAt.delete(upstream);
    },
    readmit: (upstreams) => [...upstreams].forEach((upstream) => excluded.delete(upstream)),
    giveUp: (upstream) => excluded.delete(upstream),
    allows: (upstream) =>
      !excluded.has(upstream) && (ranAt.has(upstream) || ranAt.size < maxUpstreams),
    countUsed: () => [...ranAt].filter((upstream) => excluded.has(upstream)).length,
    mayHaveRun: () => ranAt.size > 0,
    isUnused: () => excluded.size === 0 && ranAt.size === 0,
  };
};
