import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import type { z } from 'zod';
import { getErrorMessage, newFailure, newOk, type Result } from '@anvilpaddle/common';

/** Everything that is wrong with a settings file, one line a fault. */
export interface SettingsError {
  readonly kind: 'settings';
  readonly problems: readonly string[];
}

const newFault = (faults: readonly string[]): SettingsError => ({
  kind: 'settings',
  problems: faults,
});

/** Sections with every value as text: the parser turns `true` and the like into other types. */
const getSections = (text: string): unknown =>
  JSON.parse(JSON.stringify(parse(text)), (_, value: unknown) =>
    typeof value === 'object' && value !== null ? value : String(value),
  );

const getIssueLines = (file: string, issue: z.core.$ZodIssue): string[] => {
  const [section, name] = issue.path.map(String);
  const place = `${file}: [${section ?? ''}]${name === undefined ? '' : ` ${name}`}`;
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      section === undefined
        ? `${file}: [${key}]: unknown section`
        : `${place} ${key}: unknown name`,
    );
  }
  if (issue.code === 'invalid_type' && issue.message.includes('received undefined')) {
    return [`${place}: missing`];
  }
  return [`${place}: ${issue.message}`];
};

/** Reads and checks an INI file; a failure lists every fault with file, section and name. */
export const loadSettings = <S extends z.ZodType>(
  file: string,
  schema: S,
): Result<z.output<S>, SettingsError> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (fault) {
    return newFailure(newFault([`${file}: cannot be read: ${getErrorMessage(fault)}`]));
  }
  const parsed = schema.safeParse(getSections(text));
  if (parsed.success) return newOk(parsed.data);
  return newFailure(newFault(parsed.error.issues.flatMap((issue) => getIssueLines(file, issue))));
};
