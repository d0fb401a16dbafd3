/** Models that items name and no upstream serves; a model may be away for a while. */
export interface MissingModels {
  /** Whether no upstream has served the model for the time in ms. */
  isMissingFor(model: string, waitMs: number, nowMs: number): boolean;
  /** Forgets the models that are served again; to be called often. */
  refresh(): void;
}

/** Keeps since when models are missing. */
export const newMissingModels = (isServed: (model: string) => boolean): MissingModels => {
  const since = new Map<string, number>();
  return {
    isMissingFor: (model, waitMs, nowMs) => {
      if (isServed(model)) {
        since.delete(model);
        return false;
      }
      const sinceMs = since.get(model) ?? nowMs;
      since.set(model, sinceMs);
      return nowMs - sinceMs >= waitMs;
    },
    refresh: () => {
      [...since.keys()].filter(isServed).forEach((model) => since.delete(model));
    },
  };
};
