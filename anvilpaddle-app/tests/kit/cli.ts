import { execFile } from 'node:child_process';
import { resolve } from 'node:path';

const BUNDLE = resolve(__dirname, '../../../dist/anvilpaddle.cjs');

/** What a command of the program printed and its exit code. */
export interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs `anvilpaddle …` against an entry. */
export const runCli = (
  args: readonly string[],
  url = '',
  key = '',
  folder?: string,
): Promise<CliResult> =>
  new Promise((done) => {
    const env = {
      PATH: process.env.PATH,
      USER: 'tester',
      ...(url !== '' && { ANVILPADDLE_URL: url, ANVILPADDLE_OPERATOR_KEY: key }),
    };
    const child = execFile(
      process.execPath,
      [BUNDLE, ...args],
      { env, cwd: folder },
      (_, out, err) => done({ code: child.exitCode ?? -1, out, err }),
    );
  });
