/** Registry, in the table service, of the models that the upstreams of a group serve. */
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

const TICK_INTERVAL_MS = 1000;
/** Mean interval between two reads of the rows. */
const READ_INTERVAL_MS = 5 * MS_PER_MINUTE;
/** Age from which a sidecar that serves the model rewrites its row. */
const REWRITE_AGE_MS = 10 * MS_PER_MINUTE;
/** Age after which a row is ignored; wall clocks only need to agree within a fraction of it. */
const MAX_ROW_AGE_MS = 30 * MS_PER_MINUTE;

/** Models that some upstream of this sidecar's group has served recently. */
export interface ModelRegistry {
  /** Whether a model is served; also true until the rows have been read once. */
  isServed(model: string): boolean;
  /** Reads the rows now, and writes those of this upstream's models that are due. */
  refresh(): Promise<void>;
  /** Stops the periodic refresh. */
  close(): Promise<void>;
}

/** What the registry needs from its sidecar. */
export interface ModelRegistryDependencies {
  readonly tables: TableService;
  readonly group: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly getModels: () => readonly string[];
}

interface ServedModelRow {
  readonly seenAt: number;
}

/**
 * Creates a registry with one row for each model, which any sidecar that serves the model rewrites
 * when it is old. Sidecars do not exchange their models directly, and an item of a model that no
 * upstream serves has to end eventually.
 */
export const newModelRegistry = (dependencies: ModelRegistryDependencies): ModelRegistry => {
  const { tables, group, clock, random, log } = dependencies;
  let seenAt: Map<string, number> | undefined;
  let nextReadMs = clock.monotonic() + random() * TICK_INTERVAL_MS;

  const getModel = (row: Row): string => row.key.slice(group.length + 1);

  const refresh = async (): Promise<void> => {
    const rows = await scanAll(tables, TABLE.servedModels, `${group}/`);
    if (!rows.ok) return;
    const found = new Map(
      rows.value.map((row) => [getModel(row), (row.value as ServedModelRow).seenAt]),
    );
    seenAt = found;
    const nowAt = clock.wall();
    const dueModels = dependencies
      .getModels()
      .filter((model) => nowAt - (found.get(model) ?? -Infinity) >= REWRITE_AGE_MS);
    if (dueModels.length === 0) return;
    const servedRow: ServedModelRow = { seenAt: nowAt };
    dueModels.forEach((model) => found.set(model, nowAt));
    await tables.transact({
      checks: [],
      writes: dueModels.map((model) => ({
        table: TABLE.servedModels,
        key: `${group}/${model}`,
        value: servedRow,
      })),
    });
  };

  const mailbox = newMailbox<'look'>(refresh, (error) =>
    log.error({ err: error }, 'refreshing the served models failed'),
  );
  const timer = clock.every(TICK_INTERVAL_MS, () => {
    if (clock.monotonic() < nextReadMs) return;
    nextReadMs = clock.monotonic() + READ_INTERVAL_MS * (0.5 + random());
    mailbox.post('look');
  });

  return {
    isServed: (model) => {
      if (seenAt === undefined) return true;
      return clock.wall() - (seenAt.get(model) ?? -Infinity) < MAX_ROW_AGE_MS;
    },
    refresh,
    close: async () => {
      timer.cancel();
      await mailbox.close();
    },
  };
};
