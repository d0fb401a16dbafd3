import type { Effect, Scheduler, Work } from '../scheduling/scheduler';

/** Work with defaults for what a test does not care about. */
export const newWork = (id: string, part: Partial<Work> = {}): Work => ({
  id,
  team: 'a',
  route: 'chat',
  serviceClass: 'online',
  weight: 1,
  maxTokens: undefined,
  deadlineMs: 1_000_000,
  ...part,
});

/** Effects as short lines, for snapshots. */
export const formatEffects = (effects: readonly Effect[]): string[] =>
  effects.map((effect) =>
    effect.kind === 'refuse'
      ? `refuse ${effect.id} ${effect.reason} after ${effect.retryAfterMs}`
      : `${effect.kind} ${effect.id}`,
  );

/** Teaches a scheduler that a team's work takes so long and so many tokens. */
export const trainEstimates = (
  scheduler: Scheduler,
  part: Partial<Work>,
  tokens: number,
  durationMs: number,
): void => {
  for (let index = 0; index < 20; index += 1) {
    const id = `lesson-${part.team ?? 'a'}-${part.route ?? ''}-${index}`;
    scheduler.enqueue(newWork(id, part), -durationMs);
    scheduler.finish(id, tokens, 0);
  }
};
