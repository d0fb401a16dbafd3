/** Cache of the effective settings of teams. */
import { getEffectiveSettings, type Config, type EffectiveSettings } from '@anvilpaddle/decisions';

const MAX_CACHED_TEAMS = 2000;

/** Returns a lookup of a team's effective settings, which parses them once per configuration. */
export const newTeamSettings = (
  getConfig: () => Config,
  failureDomain: string,
): ((team: string) => EffectiveSettings) => {
  const cache = new Map<string, EffectiveSettings>();
  let cachedConfig: Config | undefined;
  return (team) => {
    const config = getConfig();
    if (config !== cachedConfig || cache.size >= MAX_CACHED_TEAMS) cache.clear();
    cachedConfig = config;
    const settings =
      cache.get(team) ?? getEffectiveSettings(config.settingsByLevel, { failureDomain, team });
    cache.set(team, settings);
    return settings;
  };
};
