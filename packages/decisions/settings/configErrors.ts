/** Validation of the configuration; the messages are returned to operators. */
import {
  CONFIG_ENTRY_KIND,
  CONFIG_ENTRY_SCHEMAS,
  type ConfigEntryChange,
  type LevelSettings,
} from '@anvilpaddle/protocol';
import type { Config } from './config';
import { getLevelErrors } from './settingLevels';

/** Validates a single change, without regard to other entries; each message names the entry. */
export const getChangeErrors = (change: ConfigEntryChange): string[] => {
  const entryKey = `${change.kind}/${change.id}`;
  if (change.value === null) return [];
  const parsed = CONFIG_ENTRY_SCHEMAS[change.kind].safeParse(change.value);
  if (!parsed.success) {
    return parsed.error.issues.map(
      (issue) => `${entryKey}: ${issue.path.join('.')}: ${issue.message}`,
    );
  }
  return change.kind === CONFIG_ENTRY_KIND.settings
    ? getLevelErrors(change.id, parsed.data as LevelSettings)
    : [];
};

/** Takes pairs of value and name; returns the values that several names share, with those names. */
const getDuplicates = (values: readonly (readonly [string, string])[]): Map<string, string[]> => {
  const names = new Map<string, string[]>();
  values.forEach(([value, name]) => names.set(value, [...(names.get(value) ?? []), name]));
  return new Map([...names].filter(([, list]) => list.length > 1));
};

/** Validates the references between entries and their uniqueness; each message names the entry. */
export const getConfigErrors = (config: Config): string[] => {
  const keys = [...config.entries.values()].filter(({ kind }) => kind === 'key');
  const routes = new Set(config.routes.map(({ name }) => name));
  const keyIds = new Set(keys.map(({ id }) => id));
  const keyValues = keys.map(({ id, value }) => ({
    id,
    ...(value as { team: string; hash: string }),
  }));
  const namesByKind: Readonly<Record<string, { has(name: string): boolean }>> = {
    team: config.teams,
    route: routes,
    key: keyIds,
  };
  const levelErrors = [...config.settingsByLevel.keys()].flatMap((level) => {
    const [kind = '', name = ''] = level.split('/');
    const names = namesByKind[kind];
    return names === undefined || names.has(name) ? [] : [`[${level}]: no ${kind} "${name}"`];
  });
  return [
    ...keyValues.flatMap(({ id, team }) =>
      config.teams.has(team) ? [] : [`key/${id}: no team "${team}"`],
    ),
    ...[...getDuplicates(keyValues.map(({ id, hash }) => [hash, id])).values()].map(
      (ids) => `key/${ids.join(', key/')}: the same secret`,
    ),
    ...[...config.teams].flatMap(([team, { routes: allowed = [] }]) =>
      allowed.filter((name) => !routes.has(name)).map((name) => `team/${team}: no route "${name}"`),
    ),
    ...[...getDuplicates(config.routes.map(({ path, name }) => [path, name]))].map(
      ([path, names]) => `route/${names.join(', route/')}: the same path ${path}`,
    ),
    ...levelErrors,
  ];
};
