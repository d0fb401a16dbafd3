/** Validation of a settings file without starting the process. */
import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { loadSettings } from './loadSettings';
import { entrySettingsSchema, sidecarSettingsSchema } from './schema';

/** Roles of processes, each of which has a schema of its own. */
export const PROCESS_ROLE = { entry: 'entry', sidecar: 'sidecar' } as const;
/** Role of a process. */
export type ProcessRole = (typeof PROCESS_ROLE)[keyof typeof PROCESS_ROLE];

const SCHEMAS = { entry: entrySettingsSchema, sidecar: sidecarSettingsSchema } as const;

/**
 * Detects the role by the sections: only a sidecar has `[upstream]`. A file that cannot be read
 * counts as an entry's; the validation then reports the problem.
 */
const getRole = (file: string): ProcessRole => {
  try {
    return 'upstream' in parse(readFileSync(file, 'utf8'))
      ? PROCESS_ROLE.sidecar
      : PROCESS_ROLE.entry;
  } catch {
    return PROCESS_ROLE.entry;
  }
};

/** Validates a settings file as the process does at start; returns its role or every problem. */
export const checkSettingsFile = (
  file: string,
  role?: ProcessRole,
): Result<ProcessRole, readonly string[]> => {
  const checkedRole = role ?? getRole(file);
  const settings = loadSettings<(typeof SCHEMAS)[ProcessRole]>(file, SCHEMAS[checkedRole]);
  return settings.ok ? newOk(checkedRole) : newFailure(settings.error.problems);
};
