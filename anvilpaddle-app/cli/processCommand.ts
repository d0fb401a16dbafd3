import type { z } from 'zod';
import { loadHashing, newLogger, SystemClock, type Clock, type Logger } from '@anvilpaddle/common';
import { newEntry, type EntryFactories } from '../entry/entry';
import type { Program } from '../process/program';
import { stopOnSignal } from '../process/stopOnSignal';
import { loadSettings } from '../processSettings/loadSettings';
import {
  entrySettingsSchema,
  sidecarSettingsSchema,
  type EntrySettings,
  type SidecarSettings,
} from '../processSettings/schema';
import { newSidecar, type SchedulerFactory } from '../sidecar/sidecar';
import { EXIT_CODE } from './exitCode';

const runProgram = async <T extends EntrySettings | SidecarSettings>(
  name: string,
  file: string,
  schema: z.ZodType<T>,
  start: (settings: T, clock: Clock, log: Logger) => Promise<Program>,
): Promise<void> => {
  const settings = loadSettings(file, schema);
  if (!settings.ok) {
    settings.error.problems.forEach((fault) => process.stderr.write(`${fault}\n`));
    process.exitCode = EXIT_CODE.usage;
    return;
  }
  await loadHashing();
  const log = newLogger(`anvilpaddle-${name}`, settings.value.process.log_level);
  try {
    stopOnSignal(await start(settings.value, new SystemClock(), log));
    process.stdout.write(`${JSON.stringify({ event: 'ready', role: name })}\n`);
  } catch (fault) {
    log.fatal({ err: fault }, 'start failed');
    process.exit(EXIT_CODE.failed);
  }
};

/** Runs an entry until it is told to stop. */
export const runEntry = (file: string, parts?: EntryFactories): Promise<void> =>
  runProgram('entry', file, entrySettingsSchema, (settings, clock, log) =>
    newEntry(settings, clock, log, parts),
  );

/** Runs a sidecar until it is told to stop. */
export const runSidecar = (file: string, newScheduler?: SchedulerFactory): Promise<void> =>
  runProgram('sidecar', file, sidecarSettingsSchema, (settings, clock, log) =>
    newSidecar(settings, clock, log, newScheduler),
  );
