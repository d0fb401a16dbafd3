/** Cached list of the models that an upstream serves. */

/** Models of an upstream as of the last successful read. */
export interface ModelList {
  /** Models last read; none before the first read and after `MAX_FAILED_READS` failures. */
  current(): readonly string[];
  /** Reads the list again; a failed read keeps the previous list. */
  refresh(): Promise<void>;
}

/** Consecutive failed reads after which the upstream counts as serving no models. */
const MAX_FAILED_READS = 3;

/** Creates an empty list; `read` resolves to undefined when the upstream does not respond. */
export const newModelList = (read: () => Promise<readonly string[] | undefined>): ModelList => {
  let models: readonly string[] = [];
  let failedReads = 0;
  return {
    current: () => models,
    refresh: async () => {
      const latest = await read();
      failedReads = latest === undefined ? failedReads + 1 : 0;
      if (latest !== undefined) models = latest;
      if (failedReads >= MAX_FAILED_READS) models = [];
    },
  };
};
