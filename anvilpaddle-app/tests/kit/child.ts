import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createInterface } from 'node:readline';
import { stringify } from 'ini';

const BUNDLE = resolve('dist/anvilpaddle.cjs');

/** Sections of an INI file. */
export type Ini = Readonly<Record<string, Readonly<Record<string, string>>>>;

/** A process of the program under test. */
export interface Child {
  readonly pid: number;
  /** What it has written to standard error. */
  logs(): string;
  /** Sends SIGTERM and resolves with the exit code. */
  stop(): Promise<number | null>;
  /** Kills it at once. */
  kill(): Promise<void>;
  /** Freezes it. */
  pause(): void;
  resume(): void;
}

const waitForExit = async (child: ChildProcess): Promise<number | null> => {
  if (child.exitCode === null && child.signalCode === null) await once(child, 'exit');
  return child.exitCode;
};

/** Starts `anvilpaddle COMMAND` with a settings file and waits until it is ready. */
export const startChild = async (
  command: 'entry' | 'sidecar',
  ini: Ini,
  bundle: string = BUNDLE,
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
  const ready = once(lines, 'line');
  const exited = waitForExit(child).then((code) => {
    throw new Error(`${command} ended with ${code} before it was ready:\n${logs}`);
  });
  await Promise.race([ready, exited]);
  exited.catch(() => undefined);
  return {
    pid: child.pid ?? 0,
    logs: () => logs,
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
