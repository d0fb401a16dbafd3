import type { LevelSettings } from '@anvilpaddle/protocol';
import {
  isSettingName,
  SETTINGS,
  type EffectiveSettings,
  type SettingName,
} from './settingSchemas';

/** What a setting is asked for; missing parts skip their level. */
export interface SettingScope {
  readonly failureDomain?: string | undefined;
  readonly route?: string | undefined;
  readonly team?: string | undefined;
  readonly key?: string | undefined;
  readonly job?: string | undefined;
}

/** Value of a setting and the level that it comes from. */
export interface SettingOrigin {
  readonly name: SettingName;
  readonly text: string;
  readonly level: string;
}

const FLEET_LEVEL = 'fleet';
const DEFAULT_LEVEL = 'default';
const LEVEL_PATTERN = /^(fleet|(failure-domain|route|team|key|job)\/[^/]+)$/;

/** Levels that apply to a subject, the most general first. */
export const getLevels = (subject: SettingScope): string[] => {
  const named: readonly (readonly [string, string | undefined])[] = [
    ['failure-domain', subject.failureDomain],
    ['route', subject.route],
    ['team', subject.team],
    ['key', subject.key],
    ['job', subject.job],
  ];
  return [
    FLEET_LEVEL,
    ...named.flatMap(([kind, name]) => (name === undefined ? [] : [`${kind}/${name}`])),
  ];
};

/** Value of each setting for a subject with the level that it comes from. */
export const getSettingOrigins = (
  levels: ReadonlyMap<string, LevelSettings>,
  subject: SettingScope,
): SettingOrigin[] => {
  const path = getLevels(subject).reverse();
  return (Object.keys(SETTINGS) as SettingName[]).map((name) => {
    const level = path.find((candidate) => levels.get(candidate)?.[name] !== undefined);
    return level === undefined
      ? { name, text: SETTINGS[name].defaultText, level: DEFAULT_LEVEL }
      : { name, text: levels.get(level)?.[name] ?? '', level };
  });
};

/** Settings parsed already, by the levels they come from; each change brings new levels. */
const parsedSettings = new WeakMap<
  ReadonlyMap<string, LevelSettings>,
  Map<string, EffectiveSettings>
>();
const MAX_PARSED = 5_000;

const parseSettings = (
  levels: ReadonlyMap<string, LevelSettings>,
  subject: SettingScope,
): EffectiveSettings =>
  Object.fromEntries(
    getSettingOrigins(levels, subject).map(({ name, text }) => [
      name,
      SETTINGS[name].schema.parse(text),
    ]),
  ) as EffectiveSettings;

/** Parsed settings for a subject. The levels must have passed `getLevelFaults`. */
export const getEffectiveSettings = (
  levels: ReadonlyMap<string, LevelSettings>,
  subject: SettingScope,
): EffectiveSettings => {
  const known = parsedSettings.get(levels) ?? new Map<string, EffectiveSettings>();
  parsedSettings.set(levels, known);
  // Only levels that override something tell subjects apart.
  const path = getLevels(subject)
    .filter((level) => levels.has(level))
    .join('\n');
  const settings = known.get(path) ?? parseSettings(levels, subject);
  if (known.size >= MAX_PARSED) known.clear();
  known.set(path, settings);
  return settings;
};

/** Everything that is wrong with one level; each fault names the level and the setting. */
export const getLevelErrors = (level: string, values: LevelSettings): string[] => {
  const pathFaults = LEVEL_PATTERN.test(level) ? [] : [`[${level}]: unknown level`];
  const valueFaults = Object.entries(values).flatMap(([name, text]) => {
    if (!isSettingName(name)) return [`[${level}] ${name}: unknown setting`];
    const parsed = SETTINGS[name].schema.safeParse(text);
    return parsed.success ? [] : [`[${level}] ${name}: ${parsed.error.issues[0]?.message}`];
  });
  return [...pathFaults, ...valueFaults];
};
