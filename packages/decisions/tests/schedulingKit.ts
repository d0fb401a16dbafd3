/** Helpers for tests of the schedulers. */
import type { Effect, Scheduler, Work } from '../scheduling/scheduler';

/** Creates work with defaults for all properties that are not given. */
export const newWork = (id: string, overrides: Partial<Work> = {}): Work => ({
  id,
  team: 'a',
  route: 'chat',
  serviceClass: 'online',
  weight: 1,
  maxTokens: undefined,
  deadlineMs: 1_000_000,
  ...overrides,
});

/** Formats effects as short lines, for snapshots. */
export const formatEffects = (effects: readonly Effect[]): string[] =>
  effects.map((effect) =>
    effect.kind === 'refuse'
      ? `refuse ${effect.id} ${effect.reason} after ${effect.retryAfterMs}`
      : `${effect.kind} ${effect.id}`,
  );

/** Runs work on a scheduler until it estimates such work at these tokens and this duration. */
export const trainEstimates = (
  scheduler: Scheduler,
  overrides: Partial<Work>,
  tokens: number,
  durationMs: number,
): void => {
  for (let index = 0; index < 20; index += 1) {
    const id = `lesson-${overrides.team ?? 'a'}-${overrides.route ?? ''}-${index}`;
    scheduler.enqueue(newWork(id, overrides), -durationMs);
    scheduler.finish(id, tokens, 0);
  }
};
