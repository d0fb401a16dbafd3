/** Runs the command line as a child process. */
import { execFile } from 'node:child_process';
import { resolve } from 'node:path';

const BUNDLE = resolve(__dirname, '../../../dist/anvilpaddle.cjs');

/** Output and exit code of one run of the program. */
export interface CliResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs the bundled program with arguments, against the entry process at a URL if one is given. */
export const runCli = (
  args: readonly string[],
  url = '',
  key = '',
  folder?: string,
): Promise<CliResult> =>
  new Promise((resolvePromise) => {
    const env = {
      PATH: process.env.PATH,
      USER: 'tester',
      ...(url !== '' && { ANVILPADDLE_URL: url, ANVILPADDLE_OPERATOR_KEY: key }),
    };
    const child = execFile(
      process.execPath,
      [BUNDLE, ...args],
      { env, cwd: folder },
      (_, out, err) => resolvePromise({ code: child.exitCode ?? -1, out, err }),
    );
  });
