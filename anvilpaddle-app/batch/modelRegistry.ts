import {
  newMailbox,
  MS_PER_MINUTE,
  type Clock,
  type Logger,
  type Random,
} from '@anvilpaddle/common';
import type { Row, TableService } from '@anvilpaddle/platform';
import { scanAll } from './scanAll';
import { TABLE } from './tables';

const TICK_MS = 1000;
const LOOK_MS = 5 * MS_PER_MINUTE;
const WRITE_AGAIN_MS = 10 * MS_PER_MINUTE;
/** Age after which a note counts no more; wall clocks need to agree within a part of it only. */
const STALE_MS = 30 * MS_PER_MINUTE;

/** Models that some upstream of this sidecar's group has served lately. */
export interface ModelRegistry {
  /** Also true as long as the notes could not be read. */
  isServed(model: string): boolean;
  /** Reads and writes the notes now. */
  refresh(): Promise<void>;
  close(): Promise<void>;
}

/** Parts of the sidecar that the registry works with. */
export interface ModelRegistryDependencies {
  readonly tables: TableService;
  readonly group: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly getModels: () => readonly string[];
}

interface Note {
  readonly seenAt: number;
}

/**
 * Registry with one row for each model, which any sidecar that serves it writes again when it has
 * grown old. Sidecars do not hear of one another, and an item of a model that nobody serves has to
 * end some time.
 */
export const newModelRegistry = (services: ModelRegistryDependencies): ModelRegistry => {
  const { tables, group, clock, random, log } = services;
  let seenAt: Map<string, number> | undefined;
  let nextLookMs = clock.monotonic() + random() * TICK_MS;

  const getModel = (row: Row): string => row.key.slice(group.length + 1);

  const refresh = async (): Promise<void> => {
    const rows = await scanAll(tables, TABLE.servedModels, `${group}/`);
    if (!rows.ok) return;
    const found = new Map(rows.value.map((row) => [getModel(row), (row.value as Note).seenAt]));
    seenAt = found;
    const nowAt = clock.wall();
    const due = services
      .getModels()
      .filter((model) => nowAt - (found.get(model) ?? -Infinity) >= WRITE_AGAIN_MS);
    if (due.length === 0) return;
    const note: Note = { seenAt: nowAt };
    due.forEach((model) => found.set(model, nowAt));
    await tables.transact({
      checks: [],
      writes: due.map((model) => ({
        table: TABLE.servedModels,
        key: `${group}/${model}`,
        value: note,
      })),
    });
  };

  const mailbox = newMailbox<'look'>(refresh, (fault) =>
    log.error({ err: fault }, 'served models not read'),
  );
  const timer = clock.every(TICK_MS, () => {
    if (clock.monotonic() < nextLookMs) return;
    nextLookMs = clock.monotonic() + LOOK_MS * (0.5 + random());
    mailbox.post('look');
  });

  return {
    isServed: (model) => {
      if (seenAt === undefined) return true;
      return clock.wall() - (seenAt.get(model) ?? -Infinity) < STALE_MS;
    },
    refresh,
    close: async () => {
      timer.cancel();
      await mailbox.close();
    },
  };
};
