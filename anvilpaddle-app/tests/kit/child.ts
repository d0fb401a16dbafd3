/** Starts the built program as a child process of a test. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { stringify } from 'ini';

const DEFAULT_BUNDLE = resolve('dist/anvilpaddle.cjs');

/** Sections of an INI file. */
export type Ini = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** A running process of the program. */
export interface Child {
  readonly pid: number;
  /** Text that the process has written to standard error so far. */
  logs(): string;
  /** Whether the process has ended, by itself or by a signal. */
  hasEnded(): boolean;
  /** Sends SIGTERM and resolves with the exit code; null if a signal ended the process. */
  stop(): Promise<number | null>;
  /** Sends SIGKILL and waits until the process has ended. */
  kill(): Promise<void>;
  /** Suspends the process with SIGSTOP. */
  pause(): void;
  /** Continues a suspended process with SIGCONT. */
  resume(): void;
}

const waitForExit = async (child: ChildProcess): Promise<number | null> => {
  if (child.exitCode === null && child.signalCode === null) await once(child, 'exit');
  return child.exitCode;
};

/**
 * Starts `anvilpaddle COMMAND` with a settings file and waits until it is ready, which it reports
 * by its first line on standard output.
 */
export const startChild = async (
  command: 'entry' | 'sidecar',
  ini: Ini,
  bundle: string = DEFAULT_BUNDLE,
): Promise<Child> => {
  const folder = mkdtempSync(join(tmpdir(), 'anvilpaddle-'));
  const file = join(folder, `${command}.ini`);
  writeFileSync(file, stringify(ini));
  const child = spawn(process.execPath, [bundle, command, '--config', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let logs = '';
  child.stderr.on('data', (chunk: Buffer) => {
    logs += chunk.toString();
  });
  child.once('exit', () => rmSync(folder, { recursive: true, force: true }));
  const lines = createInterface({ input: child.stdout });
  const firstLine = once(lines, 'line');
  const exited = waitForExit(child).then((code) => {
    throw new Error(`${command} exited with code ${code} before it was ready:\n${logs}`);
  });
  await Promise.race([firstLine, exited]);
  exited.catch(() => undefined);
  return {
    pid: child.pid ?? 0,
    logs: () => logs,
    hasEnded: () => child.exitCode !== null || child.signalCode !== null,
    stop: () => {
      child.kill('SIGTERM');
      return waitForExit(child);
    },
    kill: async () => {
      child.kill('SIGKILL');
      await waitForExit(child);
    },
    pause: () => {
      child.kill('SIGSTOP');
    },
    resume: () => {
      child.kill('SIGCONT');
    },
  };
};
