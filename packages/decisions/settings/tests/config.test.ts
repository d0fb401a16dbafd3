import fc from 'fast-check';
import type { ConfigChange, ConfigEntry, ConfigEntryKind } from '@anvilpaddle/protocol';
import { applyChanges, newConfig, type Config } from '../config';
import { newLocalConfig } from '../configState';

const KINDS: readonly ConfigEntryKind[] = ['team', 'key', 'route', 'settings'];
const getValue = (kind: ConfigEntryKind, seed: number): unknown =>
  ({
    team: { models: [`model-${seed}`] },
    key: { team: 'acme', hash: String(seed).padStart(64, '0') },
    route: { kind: 'plain', path: `/${'x'.repeat(seed % 5)}`, access: 'open', group: 'g' },
    settings: { 'limits.rate': String(seed) },
  })[kind];

const changeArbitrary = fc.array(
  fc.record({
    kind: fc.constantFrom(...KINDS),
    id: fc.constantFrom('a', 'b', 'c'),
    seed: fc.nat(9),
    isRemoved: fc.boolean(),
  }),
  { minLength: 1, maxLength: 3 },
);
const logArbitrary = fc.array(changeArbitrary, { maxLength: 20 }).map((log) =>
  log.map((changes, index): ConfigChange => ({
    revision: index + 1,
    operation: `op-${index}`,
    author: 'test',
    acceptedAt: '',
    changes: changes.map(({ kind, id, seed, isRemoved }) => ({
      kind,
      id,
      value: isRemoved ? null : getValue(kind, seed),
      basedOn: 0,
    })),
  })),
);

/** Reference implementation: applies each change to a map of all entries. */
const replay = (log: readonly ConfigChange[]): Config => {
  const entries = new Map<string, ConfigEntry>();
  log.forEach(({ revision, changes }) =>
    changes.forEach(({ kind, id, value }) => {
      entries.delete(`${kind}/${id}`);
      if (value !== null) entries.set(`${kind}/${id}`, { kind, id, value, revision });
    }),
  );
  return newConfig(log.length, [...entries.values()]);
};

/** Configuration as plain objects in a fixed order, for comparisons. */
const getContent = ({
  revision,
  entries,
  teams,
  apiKeysByHash,
  routes,
  settingsByLevel,
}: Config) => ({
  revision,
  entries: Object.fromEntries([...entries].sort()),
  teams: Object.fromEntries([...teams].sort()),
  hashes: [...apiKeysByHash.keys()].sort(),
  routes,
  levels: Object.fromEntries([...settingsByLevel].sort()),
});

describe('a configuration', () => {
  it('is the same whether changes are applied in any batches or the log is replayed', () => {
    fc.assert(
      fc.property(logArbitrary, fc.array(fc.nat(20)), (log, batchEnds) => {
        const config = [...batchEnds, log.length].reduce(
          (built, end) => applyChanges(built, log.slice(0, end)),
          newConfig(0, []),
        );
        expect(getContent(config)).toEqual(getContent(replay(log)));
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('is the same when its entries were read during concurrent changes', () => {
    fc.assert(
      fc.property(logArbitrary, fc.nat(20), fc.nat(20), (log, start, duration) => {
        const startRevision = Math.min(start, log.length);
        const endRevision = Math.min(startRevision + duration, log.length);
        // The first two entries are read at the start revision, the others at the end revision.
        const early = [...replay(log.slice(0, startRevision)).entries.values()].slice(0, 2);
        const late = [...replay(log.slice(0, endRevision)).entries.values()].filter(
          (entry) => !early.some(({ kind, id }) => kind === entry.kind && id === entry.id),
        );
        const lateKeys = new Set(late.map(({ kind, id }) => `${kind}/${id}`));
        const onlyEarly = early.filter(({ kind, id }) => !lateKeys.has(`${kind}/${id}`));
        const config = applyChanges(newConfig(startRevision, [...onlyEarly, ...late]), log);
        expect(getContent(config)).toEqual(getContent(replay(log)));
      }),
      { seed: 2, numRuns: 200 },
    );
  });

  it('never goes back to an older revision, whatever order updates arrive in', () => {
    fc.assert(
      fc.property(logArbitrary, fc.array(fc.nat(20), { maxLength: 20 }), (log, order) => {
        const revisions: number[] = [];
        const local = newLocalConfig(0, ({ revision }) => revisions.push(revision));
        order.forEach((end, index) => {
          const part = log.slice(0, end);
          if (index % 3 === 0) local.replace(replay(part), part);
          else if (index % 3 === 1) local.applyChanges(part.slice(-1));
          else {
            const entries = [...replay(part).entries.values()];
            local.applyState({
              revision: part.length,
              synced: true,
              changes: [],
              snapshot: entries,
            });
          }
        });
        expect(revisions).toEqual([...new Set(revisions)].sort((a, b) => a - b));
        expect(getContent(local.current())).toEqual(
          getContent(replay(log.slice(0, local.current().revision))),
        );
      }),
      { seed: 3, numRuns: 200 },
    );
  });
});
