import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { loadSettings } from './loadSettings';
import { entrySettingsSchema, sidecarSettingsSchema } from './schema';

/** Kinds of process settings. */
export const PROCESS_ROLE = { entry: 'entry', sidecar: 'sidecar' } as const;
export type ProcessRole = (typeof PROCESS_ROLE)[keyof typeof PROCESS_ROLE];

const SCHEMAS = { entry: entrySettingsSchema, sidecar: sidecarSettingsSchema } as const;

/** Role that a file's sections show: a sidecar has an upstream. */
const getRole = (file: string): ProcessRole => {
  try {
    return 'upstream' in parse(readFileSync(file, 'utf8'))
      ? PROCESS_ROLE.sidecar
      : PROCESS_ROLE.entry;
  } catch {
    return PROCESS_ROLE.entry;
  }
};

/** Checks process settings as the process itself does at start; gives the role, or every fault. */
export const checkSettingsFile = (
  file: string,
  role?: ProcessRole,
): Result<ProcessRole, readonly string[]> => {
  const checked = role ?? getRole(file);
  const settings = loadSettings<(typeof SCHEMAS)[ProcessRole]>(file, SCHEMAS[checked]);
  return settings.ok ? newOk(checked) : newFailure(settings.error.problems);
};
