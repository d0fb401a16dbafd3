/** Settings and rules that hold for the items of a job, by the configuration in force. */
import {
  getEffectiveSettings,
  type Config,
  type EffectiveSettings,
  type ItemRules,
  type Job,
} from '@anvilpaddle/decisions';

/** Number of jobs whose settings are cached. */
const MAX_CACHED_SETTINGS = 100;

/** Returns a lookup of a job's effective settings, or of the general ones without a job. */
export const newSettingsCache = (getConfig: () => Config): ((job?: Job) => EffectiveSettings) => {
  let config = getConfig();
  let cache = new Map<string, EffectiveSettings>();
  return (job) => {
    if (getConfig() !== config) {
      config = getConfig();
      cache = new Map();
    }
    const id = job?.id ?? '';
    const cached = cache.get(id);
    if (cached !== undefined) return cached;
    const subject = { route: job?.route, team: job?.team, job: job?.id };
    const settings = getEffectiveSettings(config.settingsByLevel, subject);
    if (cache.size >= MAX_CACHED_SETTINGS) cache.clear();
    cache.set(id, settings);
    return settings;
  };
};

/** Rules for the items of a job. */
export const getItemRules = (config: Config, job: Job): ItemRules => ({
  endpoint: job.endpoint,
  route: config.routes.find(({ name }) => name === job.route),
  routeName: job.route,
  team: config.teams.get(job.team),
});
