/** Rate limits of the teams under the current configuration. */
import { getEffectiveSettings, type Config, type RateLimit } from '@anvilpaddle/decisions';
import type { ConfigController } from './configController';

/** Returns a lookup of rate limits that computes each once per configuration. */
export const newTeamRateLimits = (controller: Pick<ConfigController, 'current'>) => {
  const rateLimits = new Map<string, RateLimit>();
  let config: Config | undefined;

  return (team: string): RateLimit => {
    const current = controller.current();
    if (current !== config) {
      rateLimits.clear();
      config = current;
    }
    const cached = rateLimits.get(team);
    if (cached !== undefined) return cached;
    const settings = getEffectiveSettings(current.settingsByLevel, { team });
    const rateLimit = { rate: settings['limits.rate'], burst: settings['limits.burst'] };
    rateLimits.set(team, rateLimit);
    return rateLimit;
  };
};
