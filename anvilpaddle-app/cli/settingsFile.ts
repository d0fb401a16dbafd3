/** Reads settings files of the settings tree and compares them with the current settings. */
import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { getLevelErrors } from '@anvilpaddle/decisions';
import { getErrorMessage, newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { ConfigEntry, ConfigEntryChange, LevelSettings } from '@anvilpaddle/protocol';

/** Settings of each level of a settings tree, by the level's name. */
export type SettingsByLevel = Readonly<Record<string, LevelSettings>>;

/** Rejoins sections whose names contain dots, which the INI parser returns as nested objects. */
const flatten = (
  path: readonly string[],
  node: Readonly<Record<string, unknown>>,
): SettingsByLevel => {
  const values = Object.entries(node);
  const settings = values.filter(([, value]) => typeof value !== 'object' || value === null);
  const level = Object.fromEntries(settings.map(([name, value]) => [name, String(value)]));
  const nested = values.flatMap(([name, value]) =>
    typeof value === 'object' && value !== null
      ? Object.entries(flatten([...path, name], value as Record<string, unknown>))
      : [],
  );
  const isLevel = path.length > 0 && (settings.length > 0 || nested.length === 0);
  return { ...(isLevel && { [path.join('.')]: level }), ...Object.fromEntries(nested) };
};

/** Reads a settings file; a failure lists every error with its file, level and setting. */
export const readSettingsFile = (file: string): Result<SettingsByLevel, readonly string[]> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return newFailure([`${file}: cannot be read: ${getErrorMessage(error)}`]);
  }
  const parsed = JSON.parse(JSON.stringify(parse(text))) as Record<string, unknown>;
  const levels = flatten([], parsed);
  const errors = [
    ...Object.entries(parsed).flatMap(([name, value]) =>
      typeof value === 'object' ? [] : [`${name}: outside of a level`],
    ),
    ...Object.entries(levels).flatMap(([level, values]) => getLevelErrors(level, values)),
  ];
  return errors.length === 0
    ? newOk(levels)
    : newFailure(errors.map((error) => `${file}: ${error}`));
};

/** Changes that apply the levels of a file; levels missing there are removed only with `prune`. */
export const getSettingsChanges = (
  current: readonly ConfigEntry[],
  desired: SettingsByLevel,
  prune: boolean,
): ConfigEntryChange[] => {
  const currentById = new Map(current.map((entry) => [entry.id, entry]));
  const isSame = (a: LevelSettings, b: LevelSettings): boolean =>
    Object.keys(a).length === Object.keys(b).length &&
    Object.entries(a).every(([name, value]) => b[name] === value);
  const changed = Object.entries(desired).flatMap(([id, value]): ConfigEntryChange[] => {
    const entry = currentById.get(id);
    if (entry !== undefined && isSame(entry.value as LevelSettings, value)) return [];
    return [{ kind: 'settings', id, value, basedOn: entry?.revision ?? 0 }];
  });
  const removed = current.filter(({ id }) => prune && desired[id] === undefined);
  return [
    ...changed,
    ...removed.map(({ id, revision }): ConfigEntryChange => ({
      kind: 'settings',
      id,
      value: null,
      basedOn: revision,
    })),
  ];
};

/** Human-readable diff of changes: `-` marks the old value of a setting, `+` the new one. */
export const getDiffLines = (
  current: readonly ConfigEntry[],
  changes: readonly ConfigEntryChange[],
): string[] =>
  changes.flatMap(({ id, value }) => {
    const old = (current.find((entry) => entry.id === id)?.value ?? {}) as LevelSettings;
    const next = (value ?? {}) as LevelSettings;
    const names = [...new Set([...Object.keys(old), ...Object.keys(next)])].sort();
    return names.flatMap((name) => {
      if (old[name] === next[name]) return [];
      const lines = [];
      if (old[name] !== undefined) lines.push(`- [${id}] ${name} = ${old[name]}`);
      if (next[name] !== undefined) lines.push(`+ [${id}] ${name} = ${next[name]}`);
      return lines;
    });
  });
