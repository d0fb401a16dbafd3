import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { loadSettings } from './loadSettings';
import { entryFileSchema, sidecarFileSchema } from './schema';

/** Kinds of process settings. */
export const FILE_ROLE = { entry: 'entry', sidecar: 'sidecar' } as const;
export type FileRole = (typeof FILE_ROLE)[keyof typeof FILE_ROLE];

const SCHEMAS = { entry: entryFileSchema, sidecar: sidecarFileSchema } as const;

/** Role that a file's sections show: a sidecar has an upstream. */
const getRole = (file: string): FileRole => {
  try {
    return 'upstream' in parse(readFileSync(file, 'utf8')) ? FILE_ROLE.sidecar : FILE_ROLE.entry;
  } catch {
    return FILE_ROLE.entry;
  }
};

/** Checks process settings as the process itself does at start; gives the role, or every fault. */
export const checkFile = (file: string, role?: FileRole): Result<FileRole, readonly string[]> => {
  const checked = role ?? getRole(file);
  const settings = loadSettings<(typeof SCHEMAS)[FileRole]>(file, SCHEMAS[checked]);
  return settings.ok ? newOk(checked) : newFailure(settings.error.faults);
};
