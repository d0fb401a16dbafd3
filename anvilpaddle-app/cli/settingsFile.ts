import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { getLevelErrors } from '@anvilpaddle/decisions';
import { getErrorMessage, newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { ConfigEntry, ConfigEntryChange, LevelSettings } from '@anvilpaddle/protocol';

/** Levels of a settings tree by name. */
export type SettingsByLevel = Readonly<Record<string, LevelSettings>>;

/** Sections whose names hold dots come nested from the parser; this joins them again. */
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

/** Reads a settings file; a failure lists every fault with file, level and setting. */
export const readSettingsFile = (file: string): Result<SettingsByLevel, readonly string[]> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (fault) {
    return newFailure([`${file}: cannot be read: ${getErrorMessage(fault)}`]);
  }
  const parsed = JSON.parse(JSON.stringify(parse(text))) as Record<string, unknown>;
  const levels = flatten([], parsed);
  const faults = [
    ...Object.entries(parsed).flatMap(([name, value]) =>
      typeof value === 'object' ? [] : [`${name}: outside of a level`],
    ),
    ...Object.entries(levels).flatMap(([level, values]) => getLevelErrors(level, values)),
  ];
  return faults.length === 0 ? newOk(levels) : newFailure(faults.map((f) => `${file}: ${f}`));
};

/** Changes that bring the levels of a file into force; levels that it lacks go only with `prune`. */
export const getSettingsChanges = (
  current: readonly ConfigEntry[],
  wanted: SettingsByLevel,
  prune: boolean,
): ConfigEntryChange[] => {
  const known = new Map(current.map((entry) => [entry.id, entry]));
  const isSame = (a: LevelSettings, b: LevelSettings): boolean =>
    Object.keys(a).length === Object.keys(b).length &&
    Object.entries(a).every(([name, value]) => b[name] === value);
  const changed = Object.entries(wanted).flatMap(([id, value]): ConfigEntryChange[] => {
    const entry = known.get(id);
    if (entry !== undefined && isSame(entry.value as LevelSettings, value)) return [];
    return [{ kind: 'settings', id, value, basedOn: entry?.revision ?? 0 }];
  });
  const gone = current.filter(({ id }) => prune && wanted[id] === undefined);
  return [
    ...changed,
    ...gone.map(({ id, revision }): ConfigEntryChange => ({
      kind: 'settings',
      id,
      value: null,
      basedOn: revision,
    })),
  ];
};

/** Lines that tell people what changes; `+` is new, `-` goes. */
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
