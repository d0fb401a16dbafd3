import fc from 'fast-check';
import type { RecordName } from '@anvilpaddle/platform';
import {
  getCheckpointName,
  getItemIndexName,
  getItemIndexObjectName,
  getJobName,
  getLargeResultObjectName,
  getPositionRange,
  getResultName,
  getSegmentObjectName,
  getSubmissionGuardName,
  isPositionOf,
  isSubmissionGuardKey,
  type JobName,
} from '../jobs/jobNames';

/** Largest size of a table, partition or key in the store. */
const MAX_NAME_BYTES = 200;
const DIGEST = 'a'.repeat(64);

/** Texts of few letters, so that what a separator, a position or a mark would confuse comes up often. */
const name = fc.oneof(
  fc.string({ unit: fc.constantFrom('a', '-', '/', '!', ':', '0', '\n', '\u0000'), maxLength: 8 }),
  fc.constantFrom(
    'a/000001',
    '!route',
    `!!${DIGEST}`,
    `!!!${DIGEST}`,
    '\ud800',
    '\ud801',
    'é',
    '%2F',
  ),
  fc.integer({ min: 150, max: 260 }).map((length) => 'a'.repeat(length)),
  fc.integer({ min: 60, max: 130 }).map((length) => 'é'.repeat(length)),
);
const job: fc.Arbitrary<JobName> = fc.record({ team: name, id: name });
const position = fc.integer({ min: 0, max: 200 });
const content = fc.constantFrom(Buffer.from('a'), Buffer.from('b'));

/** What makes up a stored name, with the name. */
interface Named<T> {
  readonly of: readonly unknown[];
  readonly stored: T;
}

const storedName: fc.Arbitrary<Named<RecordName>> = fc.oneof(
  job.map((each) => ({ of: ['job', each], stored: getJobName(each) })),
  job.map((each) => ({ of: ['index', each], stored: getItemIndexName(each) })),
  job.map(({ team, id }) => ({
    of: ['guard', { team, id }],
    stored: getSubmissionGuardName(team, id),
  })),
  fc
    .tuple(job, position)
    .map(([each, at]) => ({ of: ['result', each, at], stored: getResultName(each, at) })),
  fc
    .tuple(job, position)
    .map(([each, at]) => ({ of: ['checkpoint', each, at], stored: getCheckpointName(each, at) })),
);
const objectName: fc.Arbitrary<Named<string>> = fc.oneof(
  fc.tuple(job, position, content).map(([each, at, bytes]) => ({
    of: ['items', each, at, String(bytes)],
    stored: getSegmentObjectName(each, at, bytes),
  })),
  fc.tuple(job, content).map(([each, bytes]) => ({
    of: ['index', each, String(bytes)],
    stored: getItemIndexObjectName(each, bytes),
  })),
  fc.tuple(job, content).map(([each, bytes]) => ({
    of: ['result', each, String(bytes)],
    stored: getLargeResultObjectName(each, bytes),
  })),
);

/** A text as the store keeps it. */
const toStored = (text: string): string => Buffer.from(text).toString();

// Guards against review case 7: team and id were joined by a hyphen, so that two jobs had one object.
describe('the names under which jobs are stored', () => {
  it.each<[string, fc.Arbitrary<Named<unknown>>]>([
    ['records', storedName],
    ['objects', objectName],
  ])('are the same only for the same: %s', (_, named) => {
    const selector = ({ of }: Named<unknown>): string => JSON.stringify(of);
    fc.assert(
      fc.property(fc.uniqueArray(named, { maxLength: 60, selector }), (all) => {
        const names = all.map(({ stored }) =>
          JSON.stringify(stored, (__, value: unknown) =>
            typeof value === 'string' ? toStored(value) : value,
          ),
        );
        expect(new Set(names).size).toBe(names.length);
      }),
      { seed: 7, numRuns: 2000 },
    );
  });

  it('fit into the store', () => {
    fc.assert(
      fc.property(storedName, ({ stored: { partition, key } }) => {
        expect(Buffer.byteLength(partition)).toBeLessThanOrEqual(MAX_NAME_BYTES);
        expect(Buffer.byteLength(key)).toBeLessThanOrEqual(MAX_NAME_BYTES);
      }),
      { seed: 7, numRuns: 2000 },
    );
  });

  it('tell guards from jobs', () => {
    fc.assert(
      fc.property(job, (each) => {
        expect(isSubmissionGuardKey(getJobName(each).key)).toBe(false);
        expect(isSubmissionGuardKey(getSubmissionGuardName(each.team, each.id).key)).toBe(true);
      }),
      { seed: 7, numRuns: 2000 },
    );
  });

  it('list the results of a job by position, and none of another one', () => {
    fc.assert(
      fc.property(job, name, position, position, ({ team, id }, otherId, at, from) => {
        const own = getResultName({ team, id }, at).key;
        const other = getResultName({ team, id: otherId }, at).key;
        const range = getPositionRange(id, from);
        const isInRange = own >= (range.from ?? '') && own < (range.to ?? '');
        expect(isInRange).toBe(at >= from);
        expect(isPositionOf(id, own)).toBe(true);
        expect(isPositionOf(id, other)).toBe(otherId === id);
      }),
      { seed: 7, numRuns: 2000 },
    );
  });

  it('are those of the release before for usual teams, ids and routes, but for objects', () => {
    const usual = { team: 'coop-norte', id: '7c41e09b52d6a3f8' };
    expect([
      getJobName(usual),
      getResultName(usual, 12),
      getCheckpointName(usual, 3),
      getSubmissionGuardName(usual.team, 'dossiers'),
    ]).toEqual([
      { table: 'jobs', partition: 'coop-norte', key: '7c41e09b52d6a3f8' },
      { table: 'results', partition: 'coop-norte', key: '7c41e09b52d6a3f8/000012' },
      { table: 'checkpoints', partition: 'coop-norte', key: '7c41e09b52d6a3f8/000003' },
      { table: 'jobs', partition: 'coop-norte', key: '!dossiers' },
    ]);
  });
});
