import { getEffectiveSettings, type Config, type RateLimit } from '@anvilpaddle/decisions';
import type { ConfigController } from './configController';

/** Rate and burst of each team by the configuration in force; worked out once for each of them. */
export const newTeamRateLimits = (controller: Pick<ConfigController, 'current'>) => {
  const rates = new Map<string, RateLimit>();
  let config: Config | undefined;

  return (team: string): RateLimit => {
    const current = controller.current();
    if (current !== config) {
      rates.clear();
      config = current;
    }
    const known = rates.get(team);
    if (known !== undefined) return known;
    const settings = getEffectiveSettings(current.settingsByLevel, { team });
    const rate = { rate: settings['limits.rate'], burst: settings['limits.burst'] };
    rates.set(team, rate);
    return rate;
  };
};
