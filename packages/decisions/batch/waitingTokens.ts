/** Tokens of batch items that wait for a result. */

/** What the count of waiting tokens needs of a job. */
export interface WaitingJob {
  /** Tokens of each item, by index. */
  readonly tokens: readonly number[];
  /** Indexes of the items that have a result. */
  readonly listed: readonly number[];
  readonly isEnded: boolean;
}

/** Total tokens of the items without a result, over all jobs that have not ended. */
export const getWaitingTokens = (jobs: readonly WaitingJob[]): number =>
  jobs
    .filter(({ isEnded }) => !isEnded)
    .reduce((sum, { tokens, listed }) => {
      const all = tokens.reduce((total, count) => total + count, 0);
      return listed.reduce((left, index) => left - (tokens[index] ?? 0), sum + all);
    }, 0);
