/** What the count of a team's waiting tokens needs of a job. */
export interface WaitingJob {
  /** Tokens of each item. */
  readonly tokens: readonly number[];
  /** Indexes of the items with a result. */
  readonly listed: readonly number[];
  readonly isEnded: boolean;
}

/** Tokens of the items that still wait for a result. */
export const getWaitingTokens = (jobs: readonly WaitingJob[]): number =>
  jobs
    .filter(({ isEnded }) => !isEnded)
    .reduce((sum, { tokens, listed }) => {
      const all = tokens.reduce((total, count) => total + count, 0);
      return listed.reduce((left, index) => left - (tokens[index] ?? 0), sum + all);
    }, 0);
