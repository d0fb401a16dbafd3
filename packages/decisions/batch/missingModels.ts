/** Models that no upstream serves at the moment. */

/**
 * Tracks since when no upstream has served models that items name. A model may be missing for a
 * while and be served again.
 */
export interface MissingModels {
  /** Whether no upstream has served the model for the given duration in ms. */
  isMissingFor(model: string, durationMs: number, nowMs: number): boolean;
  /**
   * Drops the models that are served again. Has to be called often: a model that is served and
   * missing again between two calls counts as missing throughout.
   */
  refresh(): void;
}

/** Creates a tracker without missing models. */
export const newMissingModels = (isServed: (model: string) => boolean): MissingModels => {
  const missingSinceMs = new Map<string, number>();
  return {
    isMissingFor: (model, durationMs, nowMs) => {
      if (isServed(model)) {
        missingSinceMs.delete(model);
        return false;
      }
      const sinceMs = missingSinceMs.get(model) ?? nowMs;
      missingSinceMs.set(model, sinceMs);
      return nowMs - sinceMs >= durationMs;
    },
    refresh: () => {
      [...missingSinceMs.keys()].filter(isServed).forEach((model) => missingSinceMs.delete(model));
    },
  };
};
