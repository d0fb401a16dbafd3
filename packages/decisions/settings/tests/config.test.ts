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

/** The naive version: one map, written change by change. */
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

const getContent = ({
  revision,
  entries,
  teams,
  apiKeysByHash: keysByHash,
  routes,
  settingsByLevel: levels,
}: Config) => ({
  revision,
  entries: Object.fromEntries([...entries].sort()),
  teams: Object.fromEntries([...teams].sort()),
  hashes: [...keysByHash.keys()].sort(),
  routes,
  levels: Object.fromEntries([...levels].sort()),
});

describe('a configuration', () => {
  it('is the same by changes in any batches as by a replay of the log', () => {
    fc.assert(
      fc.property(logArbitrary, fc.array(fc.nat(20)), (log, cuts) => {
        const config = [...cuts, log.length].reduce(
          (built, end) => applyChanges(built, log.slice(0, end)),
          newConfig(0, []),
        );
        expect(getContent(config)).toEqual(getContent(replay(log)));
      }),
      { seed: 1, numRuns: 200 },
    );
  });

  it('is the same when its entries were read while changes went on', () => {
    fc.assert(
      fc.property(logArbitrary, fc.nat(20), fc.nat(20), (log, start, middle) => {
        const head = Math.min(start, log.length);
        const then = Math.min(head + middle, log.length);
        // Entries of the first kinds are read at the head, the others later.
        const early = [...replay(log.slice(0, head)).entries.values()].slice(0, 2);
        const late = [...replay(log.slice(0, then)).entries.values()].filter(
          (entry) => !early.some(({ kind, id }) => kind === entry.kind && id === entry.id),
        );
        const lateKeys = new Set(late.map(({ kind, id }) => `${kind}/${id}`));
        const stale = early.filter(({ kind, id }) => !lateKeys.has(`${kind}/${id}`));
        const config = applyChanges(newConfig(head, [...stale, ...late]), log);
        expect(getContent(config)).toEqual(getContent(replay(log)));
      }),
      { seed: 2, numRuns: 200 },
    );
  });

  it('never moves back, whatever order news comes in', () => {
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
