import {
  getEffectiveSettings,
  newTokenBucket,
  type Admission,
  type TokenBucket,
} from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import type { ConfigController } from './configController';

/** Decides whether a team's request is within its rate and burst. */
export interface LimitController {
  admit(team: string): Promise<Admission>;
  close(): Promise<void>;
}

/** Splits each team's rate and burst evenly over the live entries. */
export const newLimitController = (
  config: ConfigController,
  getEntryCount: () => number,
  clock: Clock,
): LimitController => {
  const buckets = new Map<string, TokenBucket>();

  const getShare = (team: string) => {
    const settings = getEffectiveSettings(config.current().levels, { team });
    const entries = Math.max(1, getEntryCount());
    return { rate: settings['limits.rate'] / entries, burst: settings['limits.burst'] / entries };
  };

  return {
    admit: async (team) => {
      const nowMs = clock.monotonic();
      const known = buckets.get(team);
      const bucket = known ?? newTokenBucket(getShare(team), nowMs);
      if (known === undefined) buckets.set(team, bucket);
      else bucket.setRate(getShare(team), nowMs);
      return bucket.take(1, nowMs);
    },
    close: async () => undefined,
  };
};
