import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  applyChanges,
  getConfigErrors,
  getEffectiveSettings,
  getSettingOrigins,
  newConfig,
  SETTINGS,
  type Config,
} from '@anvilpaddle/decisions';
import { newSeededRandom, MS_PER_SECOND } from '@anvilpaddle/common';
import type { ConfigChange, ConfigEntry } from '@anvilpaddle/protocol';
import { newTestVm, newConfigFleet, type ConfigFleet } from 'anvilpaddle-app/tests/kit/configFleet';
import { getSpread } from './kit/statistics';
import { printTable } from './kit/table';

const SEEDS = [1, 2, 3, 4, 5];
const INTERVAL_MS = 500;
const WARM_ROUNDS = 4;
const ROUNDS = 10;
const FLEETS = [
  { entries: 3, sidecars: 12, domains: 3 },
  { entries: 30, sidecars: 120, domains: 3 },
  { entries: 240, sidecars: 1_000, domains: 16 },
  { entries: 800, sidecars: 3_300, domains: 16 },
];
const SIZES = [
  { teams: 8, keys: 16 },
  { teams: 150, keys: 1_000 },
  { teams: 1_500, keys: 10_000 },
];

type FleetSize = (typeof FLEETS)[number];

const newList = ({ entries, sidecars, domains }: FleetSize) => [
  ...Array.from({ length: entries }, (_, i) => newTestVm(`entry-${i}`, `fd-${i % domains}`)),
  ...Array.from({ length: sidecars }, (_, i) => newTestVm(`llm-${i}`, `fd-${i % domains}`)),
];

/** Each node refreshes once an interval, in an order of its own. */
const runRounds = async (fleet: ConfigFleet, rounds: number, seed: number): Promise<void> => {
  const random = newSeededRandom(seed);
  const order = fleet.nodes
    .map((node) => ({ node, place: random() }))
    .sort((a, b) => a.place - b.place)
    .map(({ node }) => node);
  for (let round = 0; round < rounds; round += 1) {
    for (const { controller } of order) {
      await controller.refresh();
      fleet.clock.advance(INTERVAL_MS / order.length);
    }
  }
};

const getOldest = (fleet: ConfigFleet): number =>
  Math.max(...fleet.nodes.map(({ controller }) => controller.ageMs()));

/** Rounds until the last node has a change that one entry accepted. */
const measureSpread = async (fleet: ConfigFleet, seed: number): Promise<number> => {
  const entry = fleet.nodes[seed % 3];
  const value = {};
  const change = { kind: 'team', id: `team-${seed}`, value, basedOn: 0 } as const;
  const proposed = await entry?.controller.propose({ author: 'm', changes: [change] });
  const startMs = fleet.clock.monotonic();
  const revision = proposed?.ok === true ? proposed.value : Infinity;
  while (fleet.nodes.some(({ controller }) => controller.current().revision < revision)) {
    await runRounds(fleet, 1, seed);
  }
  return fleet.clock.monotonic() - startMs;
};

const measureFleet = async (size: FleetSize) => {
  const rows = { reads: [] as number[], messages: [] as number[], bytes: [] as number[] };
  const ages: number[] = [];
  const spreads: number[] = [];
  const outage: number[] = [];
  for (const seed of SEEDS) {
    const list = newList(size);
    const fleet = await newConfigFleet(list, INTERVAL_MS);
    await runRounds(fleet, WARM_ROUNDS, seed);
    const before = { reads: fleet.tables.calls.reads, ...fleet.traffic };
    await runRounds(fleet, ROUNDS, seed);
    const seconds = (ROUNDS * INTERVAL_MS) / MS_PER_SECOND;
    const each = list.length * seconds;
    rows.reads.push((fleet.tables.calls.reads - before.reads) / seconds);
    rows.messages.push((fleet.traffic.messages - before.messages) / each);
    rows.bytes.push((fleet.traffic.bytes - before.bytes) / each);
    ages.push(getOldest(fleet));
    spreads.push(await measureSpread(fleet, seed));
    fleet.nodes.forEach(({ storeFaults: store }) => Object.assign(store, { isDown: true }));
    await runRounds(fleet, ROUNDS, seed);
    outage.push(getOldest(fleet));
  }
  const count = size.entries + size.sidecars;
  return {
    nodes: count,
    domains: size.domains,
    'store reads/s': getSpread(rows.reads, 0),
    'reads/s if each node read': (count * MS_PER_SECOND) / INTERVAL_MS,
    'messages/s a node': getSpread(rows.messages),
    'payload B/s a node': getSpread(rows.bytes, 0),
    'oldest ms': getSpread(ages, 0),
    'in force everywhere ms': getSpread(spreads, 0),
    'oldest ms in an outage': getSpread(outage, 0),
  };
};

const getEntries = ({ teams, keys }: (typeof SIZES)[number]): ConfigEntry[] => [
  ...Array.from({ length: teams }, (_, i) => ({
    kind: 'team' as const,
    id: `team-${i}`,
    value: { models: ['model-a', 'model-b'] },
    revision: 1,
  })),
  ...Array.from({ length: teams }, (_, i) => ({
    kind: 'settings' as const,
    id: `team/team-${i}`,
    value: { 'limits.rate': '20', 'limits.burst': '40' },
    revision: 1,
  })),
  ...Array.from({ length: keys }, (_, i) => ({
    kind: 'key' as const,
    id: `key_${String(i).padStart(24, '0')}`,
    value: { team: `team-${i % teams}`, hash: String(i).padStart(64, '0') },
    revision: 1,
  })),
];

const getChange = (revision: number): ConfigChange => ({
  revision,
  operation: 'op',
  author: 'm',
  acceptedAt: '',
  changes: [
    { kind: 'settings', id: 'team/team-1', value: { 'limits.rate': String(revision) }, basedOn: 1 },
  ],
});

const getMsPerRun = (runs: number, action: (run: number) => void): number => {
  const startMs = performance.now();
  for (let run = 0; run < runs; run += 1) action(run);
  return (performance.now() - startMs) / runs;
};

const getHeapBytes = (collect: () => void): number => {
  collect();
  return process.memoryUsage().heapUsed;
};

const measureConfigSize = (size: (typeof SIZES)[number], collect: () => void) => {
  const before = getHeapBytes(collect);
  const config = newConfig(1, JSON.parse(JSON.stringify(getEntries(size))) as ConfigEntry[]);
  const bytes = getHeapBytes(collect) - before;
  const settingsMs: number[] = [];
  const rebuildMs: number[] = [];
  const checkMs: number[] = [];
  SEEDS.forEach(() => {
    let moved: Config = config;
    settingsMs.push(
      getMsPerRun(50, (run) => {
        moved = applyChanges(moved, [getChange(run + 2)]);
      }),
    );
    rebuildMs.push(getMsPerRun(50, () => newConfig(2, [...config.entries.values()])));
    checkMs.push(getMsPerRun(10, () => getConfigErrors(config)));
  });
  return {
    teams: size.teams,
    keys: size.keys,
    'heap KB': (bytes / 1000).toFixed(0),
    'B an entry': (bytes / config.entries.size).toFixed(0),
    'ms a change': getSpread(settingsMs, 3),
    'ms, all rebuilt': getSpread(rebuildMs, 3),
    'ms to check the tree': getSpread(checkMs, 3),
    'snapshot KB': (JSON.stringify([...config.entries.values()]).length / 1000).toFixed(0),
  };
};

const measureLookups = () => {
  const { settingsByLevel: levels } = newConfig(1, getEntries({ teams: 1_500, keys: 10 }));
  const subjects = Array.from({ length: 500 }, (_, i) => ({
    failureDomain: 'fd-1',
    route: 'chat',
    team: `team-${i}`,
  }));
  const run = (action: (subject: (typeof subjects)[number]) => unknown): number =>
    1000 *
    getMsPerRun(20_000, (index) => action(subjects[index % subjects.length] ?? ({} as never)));
  const parseAll = (subject: (typeof subjects)[number]) =>
    getSettingOrigins(levels, subject).map(({ name, text }) => SETTINGS[name].schema.parse(text));
  return SEEDS.map(() => ({
    'us a lookup': run((subject) => getEffectiveSettings(levels, subject)).toFixed(2),
    'us, parsed each time': run(parseAll).toFixed(2),
  }));
};

/** Slopes of the configuration: store reads, messages, memory and time against size. */
export const measureConfig = async (): Promise<void> => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  // The first run pays for what is loaded late.
  measureConfigSize(SIZES[0] ?? { teams: 1, keys: 1 }, collect);
  const fleets = [];
  for (const size of FLEETS) fleets.push(await measureFleet(size));
  printTable('Relay of the configuration, five orders of refreshing', fleets);
  printTable(
    'Cost of a configuration',
    SIZES.map((size) => measureConfigSize(size, collect)),
  );
  printTable('Looking up the settings of a request', measureLookups());
};
