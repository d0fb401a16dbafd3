/** Models of an upstream as last read. */
export interface ModelList {
  current(): readonly string[];
  /** Reads the list; the old one stays while a few reads fail. */
  refresh(): Promise<void>;
}

/** Failed reads in a row after which the upstream counts as serving nothing. */
const MAX_MISSES = 3;

/** List that outlives a hiccup of the upstream; `read` gives undefined when there was no answer. */
export const newModelList = (read: () => Promise<readonly string[] | undefined>): ModelList => {
  let models: readonly string[] = [];
  let misses = 0;
  return {
    current: () => models,
    refresh: async () => {
      const listed = await read();
      misses = listed === undefined ? misses + 1 : 0;
      if (listed !== undefined) models = listed;
      if (misses >= MAX_MISSES) models = [];
    },
  };
};
