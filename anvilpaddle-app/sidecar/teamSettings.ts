import { getEffectiveSettings, type Config, type EffectiveSettings } from '@anvilpaddle/decisions';

const KEPT_TEAMS = 2000;

/** Effective settings of a team; parsed once for each team and configuration. */
export const newTeamSettings = (
  getConfig: () => Config,
  failureDomain: string,
): ((team: string) => EffectiveSettings) => {
  const kept = new Map<string, EffectiveSettings>();
  let keptFor: Config | undefined;
  return (team) => {
    const config = getConfig();
    if (config !== keptFor || kept.size >= KEPT_TEAMS) kept.clear();
    keptFor = config;
    const settings =
      kept.get(team) ?? getEffectiveSettings(config.settingsByLevel, { failureDomain, team });
    kept.set(team, settings);
    return settings;
  };
};
