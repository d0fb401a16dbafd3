/** Loading of settings from INI files. */
import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import type { z } from 'zod';
import { getErrorMessage, newFailure, newOk, type Result } from '@anvilpaddle/common';

/** Problems of a settings file, one line each. */
export interface SettingsError {
  readonly kind: 'settings';
  readonly problems: readonly string[];
}

const newSettingsError = (problems: readonly string[]): SettingsError => ({
  kind: 'settings',
  problems,
});

/** Returns all values as text, since the INI parser converts values such as `true`. */
const getSections = (text: string): unknown =>
  JSON.parse(JSON.stringify(parse(text)), (_, value: unknown) =>
    typeof value === 'object' && value !== null ? value : String(value),
  );

const getIssueLines = (file: string, issue: z.core.$ZodIssue): string[] => {
  const [section, name] = issue.path.map(String);
  const location = `${file}: [${section ?? ''}]${name === undefined ? '' : ` ${name}`}`;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      section === undefined
        ? `${file}: [${key}]: unknown section`
        : `${location} ${key}: unknown name`,
    );
  }
  if (issue.code === 'invalid_type' && issue.message.includes('received undefined')) {
    return [`${location}: missing`];
  }
  return [`${location}: ${issue.message}`];
};

/** Reads and validates an INI file; each problem names file, section and setting. */
export const loadSettings = <S extends z.ZodType>(
  file: string,
  schema: S,
): Result<z.output<S>, SettingsError> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return newFailure(newSettingsError([`${file}: cannot be read: ${getErrorMessage(error)}`]));
  }
  const parsed = schema.safeParse(getSections(text));
  if (parsed.success) return newOk(parsed.data);
  return newFailure(
    newSettingsError(parsed.error.issues.flatMap((issue) => getIssueLines(file, issue))),
  );
};
