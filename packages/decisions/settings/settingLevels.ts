/** Levels of settings, from the fleet down to a single job, and how they override each other. */
import type { LevelSettings } from '@anvilpaddle/protocol';
import { isSettingName, SETTINGS, type EffectiveSettings, type SettingName } from './schema';

/** Scope for which settings are resolved; the level of a missing part is skipped. */
export interface SettingScope {
  readonly failureDomain?: string | undefined;
  readonly route?: string | undefined;
  readonly team?: string | undefined;
  readonly key?: string | undefined;
  readonly job?: string | undefined;
}

/** Value of a setting, as text, and the level that defines it. */
export interface SettingOrigin {
  readonly name: SettingName;
  readonly text: string;
  readonly level: string;
}

const FLEET_LEVEL = 'fleet';
const DEFAULT_LEVEL = 'default';
const LEVEL_PATTERN = /^(fleet|(failure-domain|route|team|key|job)\/[^/]+)$/;

/** Levels that apply to a scope, the most general first. */
export const getLevels = (scope: SettingScope): string[] => {
  const named: readonly (readonly [string, string | undefined])[] = [
    ['failure-domain', scope.failureDomain],
    ['route', scope.route],
    ['team', scope.team],
    ['key', scope.key],
    ['job', scope.job],
  ];
  return [
    FLEET_LEVEL,
    ...named.flatMap(([kind, name]) => (name === undefined ? [] : [`${kind}/${name}`])),
  ];
};

/** Value of each setting in a scope, from the most specific level that defines it. */
export const getSettingOrigins = (
  settingsByLevel: ReadonlyMap<string, LevelSettings>,
  scope: SettingScope,
): SettingOrigin[] => {
  const mostSpecificFirst = getLevels(scope).reverse();
  return (Object.keys(SETTINGS) as SettingName[]).map((name) => {
    const level = mostSpecificFirst.find(
      (candidate) => settingsByLevel.get(candidate)?.[name] !== undefined,
    );
    return level === undefined
      ? { name, text: SETTINGS[name].defaultText, level: DEFAULT_LEVEL }
      : { name, text: settingsByLevel.get(level)?.[name] ?? '', level };
  });
};

/**
 * Cache of parsed settings. The outer key is the map of levels, which every change of the settings
 * replaces; the inner key lists the levels that apply to a scope.
 */
const parsedSettings = new WeakMap<
  ReadonlyMap<string, LevelSettings>,
  Map<string, EffectiveSettings>
>();
/** Number of scopes at which the cache of a configuration is cleared. */
const MAX_CACHED_SCOPES = 5_000;

const parseSettings = (
  settingsByLevel: ReadonlyMap<string, LevelSettings>,
  scope: SettingScope,
): EffectiveSettings =>
  Object.fromEntries(
    getSettingOrigins(settingsByLevel, scope).map(({ name, text }) => [
      name,
      SETTINGS[name].schema.parse(text),
    ]),
  ) as EffectiveSettings;

/** Parsed settings in a scope. The levels must have been validated by `getLevelErrors`. */
export const getEffectiveSettings = (
  settingsByLevel: ReadonlyMap<string, LevelSettings>,
  scope: SettingScope,
): EffectiveSettings => {
  const cached = parsedSettings.get(settingsByLevel) ?? new Map<string, EffectiveSettings>();
  parsedSettings.set(settingsByLevel, cached);
  // Scopes that differ only in levels without settings share one cache entry.
  const cacheKey = getLevels(scope)
    .filter((level) => settingsByLevel.has(level))
    .join('\n');
  const settings = cached.get(cacheKey) ?? parseSettings(settingsByLevel, scope);
  if (cached.size >= MAX_CACHED_SCOPES) cached.clear();
  cached.set(cacheKey, settings);
  return settings;
};

/** Validates one level; each message names the level and the setting. */
export const getLevelErrors = (level: string, values: LevelSettings): string[] => {
  const nameErrors = LEVEL_PATTERN.test(level) ? [] : [`[${level}]: unknown level`];
  const valueErrors = Object.entries(values).flatMap(([name, text]) => {
    if (!isSettingName(name)) return [`[${level}] ${name}: unknown setting`];
    const parsed = SETTINGS[name].schema.safeParse(text);
    return parsed.success ? [] : [`[${level}] ${name}: ${parsed.error.issues[0]?.message}`];
  });
  return [...nameErrors, ...valueErrors];
};
