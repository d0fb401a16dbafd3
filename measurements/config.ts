/** Measurement of how a configuration spreads through fleets of several sizes, and of its cost. */
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
const REFRESH_INTERVAL_MS = 500;
const WARM_UP_ROUNDS = 4;
const ROUNDS = 10;
const FLEET_SIZES = [
  { entries: 3, sidecars: 12, domains: 3 },
  { entries: 30, sidecars: 120, domains: 3 },
  { entries: 240, sidecars: 1_000, domains: 16 },
  { entries: 800, sidecars: 3_300, domains: 16 },
];
const CONFIG_SIZES = [
  { teams: 8, keys: 16 },
  { teams: 150, keys: 1_000 },
  { teams: 1_500, keys: 10_000 },
];

type FleetSize = (typeof FLEET_SIZES)[number];

const newVmList = ({ entries, sidecars, domains }: FleetSize) => [
  ...Array.from({ length: entries }, (_, i) => newTestVm(`entry-${i}`, `fd-${i % domains}`)),
  ...Array.from({ length: sidecars }, (_, i) => newTestVm(`llm-${i}`, `fd-${i % domains}`)),
];

/** Refreshes every node once per interval; the seed decides the order of the nodes. */
const runRounds = async (fleet: ConfigFleet, rounds: number, seed: number): Promise<void> => {
  const random = newSeededRandom(seed);
  const order = fleet.nodes
    .map((node) => ({ node, sortKey: random() }))
    .sort((a, b) => a.sortKey - b.sortKey)
    .map(({ node }) => node);
  for (let round = 0; round < rounds; round += 1) {
    for (const { controller } of order) {
      await controller.refresh();
      fleet.clock.advance(REFRESH_INTERVAL_MS / order.length);
    }
  }
};

/** Age of the oldest configuration in the fleet in milliseconds. */
const getMaxAgeMs = (fleet: ConfigFleet): number =>
  Math.max(...fleet.nodes.map(({ controller }) => controller.ageMs()));

/** Milliseconds until every node has a change that one entry accepted. */
const measurePropagationMs = async (fleet: ConfigFleet, seed: number): Promise<number> => {
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

/** Store reads, messages and age of the configuration in a fleet of one size. */
const measureFleet = async (size: FleetSize) => {
  const rates = { reads: [] as number[], messages: [] as number[], bytes: [] as number[] };
  const maxAgesMs: number[] = [];
  const propagationMs: number[] = [];
  const outageAgesMs: number[] = [];
  for (const seed of SEEDS) {
    const vms = newVmList(size);
    const fleet = await newConfigFleet(vms, REFRESH_INTERVAL_MS);
    await runRounds(fleet, WARM_UP_ROUNDS, seed);
    const before = { reads: fleet.tables.calls.reads, ...fleet.traffic };
    await runRounds(fleet, ROUNDS, seed);
    const seconds = (ROUNDS * REFRESH_INTERVAL_MS) / MS_PER_SECOND;
    const nodeSeconds = vms.length * seconds;
    rates.reads.push((fleet.tables.calls.reads - before.reads) / seconds);
    rates.messages.push((fleet.traffic.messages - before.messages) / nodeSeconds);
    rates.bytes.push((fleet.traffic.bytes - before.bytes) / nodeSeconds);
    maxAgesMs.push(getMaxAgeMs(fleet));
    propagationMs.push(await measurePropagationMs(fleet, seed));
    fleet.nodes.forEach(({ storeFaults }) => Object.assign(storeFaults, { isDown: true }));
    await runRounds(fleet, ROUNDS, seed);
    outageAgesMs.push(getMaxAgeMs(fleet));
  }
  const nodeCount = size.entries + size.sidecars;
  return {
    nodes: nodeCount,
    domains: size.domains,
    'store reads/s': getSpread(rates.reads, 0),
    'reads/s if each node read': (nodeCount * MS_PER_SECOND) / REFRESH_INTERVAL_MS,
    'messages/s a node': getSpread(rates.messages),
    'payload B/s a node': getSpread(rates.bytes, 0),
    'oldest ms': getSpread(maxAgesMs, 0),
    'in force everywhere ms': getSpread(propagationMs, 0),
    'oldest ms in an outage': getSpread(outageAgesMs, 0),
  };
};

/** Entries of a configuration with the given number of teams and API keys. */
const getEntries = ({ teams, keys }: (typeof CONFIG_SIZES)[number]): ConfigEntry[] => [
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

/** Change of one setting of one team, with the given revision. */
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

/** Size of the heap after a garbage collection. */
const getHeapBytes = (collectGarbage: () => void): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

/** Memory of a configuration, and the time to change, rebuild and check it. */
const measureConfigSize = (size: (typeof CONFIG_SIZES)[number], collectGarbage: () => void) => {
  const before = getHeapBytes(collectGarbage);
  const config = newConfig(1, JSON.parse(JSON.stringify(getEntries(size))) as ConfigEntry[]);
  const heapBytes = getHeapBytes(collectGarbage) - before;
  const changeMs: number[] = [];
  const rebuildMs: number[] = [];
  const checkMs: number[] = [];
  SEEDS.forEach(() => {
    let changed: Config = config;
    changeMs.push(
      getMsPerRun(50, (run) => {
        changed = applyChanges(changed, [getChange(run + 2)]);
      }),
    );
    rebuildMs.push(getMsPerRun(50, () => newConfig(2, [...config.entries.values()])));
    checkMs.push(getMsPerRun(10, () => getConfigErrors(config)));
  });
  return {
    teams: size.teams,
    keys: size.keys,
    'heap KB': (heapBytes / 1000).toFixed(0),
    'B an entry': (heapBytes / config.entries.size).toFixed(0),
    'ms a change': getSpread(changeMs, 3),
    'ms, all rebuilt': getSpread(rebuildMs, 3),
    'ms to check the tree': getSpread(checkMs, 3),
    'snapshot KB': (JSON.stringify([...config.entries.values()]).length / 1000).toFixed(0),
  };
};

/** Time to look up the settings of a request, beside parsing them for each request. */
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

/** Prints store reads, messages, memory and time by size of the fleet and of the configuration. */
export const measureConfig = async (): Promise<void> => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  // The first run includes lazy loading, so its result is dropped.
  measureConfigSize(CONFIG_SIZES[0] ?? { teams: 1, keys: 1 }, collectGarbage);
  const fleets = [];
  for (const size of FLEET_SIZES) fleets.push(await measureFleet(size));
  printTable('Relay of the configuration, five orders of refreshing', fleets);
  printTable(
    'Cost of a configuration',
    CONFIG_SIZES.map((size) => measureConfigSize(size, collectGarbage)),
  );
  printTable('Looking up the settings of a request', measureLookups());
};
