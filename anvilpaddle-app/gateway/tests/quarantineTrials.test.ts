import { ManualClock, newFailure, newSilentLogger } from '@anvilpaddle/common';
import { PART_STATE, type QuarantineAssessment, type PartReport } from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import { newQuarantineTrials, QUARANTINE_TABLE } from '../quarantineTrials';
import { COMMIT_FAULT, newMemoryStore } from './kit/memoryStore';

const DIGEST = '~request';
const REPORT: PartReport = {
  part: DIGEST,
  position: 0,
  isQuarantined: true,
  survivals: 0,
  served: { withPart: 0, all: 0 },
  crashes: [['u1', 5]],
};
const LATER_MS = 10 * 60 * 1000;

const assess = (crashes: number, ageMs: number): QuarantineAssessment => ({
  state: PART_STATE.quarantined,
  part: DIGEST,
  crashes,
  ageMs,
  isTriable: true,
});

/** A store whose clock runs, with the row of the quarantined request. */
const newStore = async (row: object = REPORT) => {
  const memory = newMemoryStore();
  const time = { storeMs: 1000 };
  const records: RecordStore = {
    ...memory.records,
    read: async (...call) => {
      const page = await memory.records.read(...call);
      return page.ok ? { ok: true, value: { ...page.value, storeMs: time.storeMs } } : page;
    },
  };
  const name = { table: QUARANTINE_TABLE, partition: '', key: DIGEST };
  const value = Buffer.from(JSON.stringify(row));
  await records.commit({ checks: [], writes: [{ ...name, value }] });
  return { records, time };
};

const newGateway = (records: RecordStore) => {
  const clock = new ManualClock();
  return { clock, trials: newQuarantineTrials(records, clock, newSilentLogger()) };
};

describe('trials of a quarantined request', () => {
  it.each([
    ['right after its last crash', 3, 100, false],
    ['once crashed upstreams may be back', 3, 3000, true],
    ['after many crashes at once', 20, 3000, true],
  ])('%s: whether one is asked for', async (_, crashes, ageMs, isDue) => {
    const { trials } = newGateway((await newStore()).records);

    expect(trials.isDue(assess(crashes, ageMs))).toBe(isDue);
  });

  it('are not for parts of prompts that crashed upstreams at many moments', async () => {
    const { trials } = newGateway((await newStore()).records);

    expect(trials.isDue({ ...assess(4, 3000), part: 'bad0bad0', isTriable: false })).toBe(false);
  });

  it('are two for ever, of all gateways and over their restarts', async () => {
    const { records, time } = await newStore();
    const taken: boolean[] = [];
    for (let round = 0; round < 4; round += 1) {
      // Each is a new process.
      const gateways = [newGateway(records), newGateway(records), newGateway(records)];
      const takes = gateways.map(({ trials }) => trials.take(DIGEST));
      taken.push(...(await Promise.all(takes)));
      time.storeMs += LATER_MS;
    }

    expect(taken.filter(Boolean)).toHaveLength(2);
  });

  it('are not two in a row', async () => {
    const { records, time } = await newStore();
    expect(await newGateway(records).trials.take(DIGEST)).toBe(true);
    time.storeMs += 1000;

    expect(await newGateway(records).trials.take(DIGEST)).toBe(false);
  });

  it.each([
    ['soon if the store has no row yet', '~other', 3000],
    ['after minutes if the store has granted or denied one', DIGEST, 300_000],
  ])('are asked for again %s', async (_, part, delayMs) => {
    const { trials, clock } = newGateway((await newStore()).records);
    const assessment = { ...assess(3, 3000), part } as QuarantineAssessment;
    await trials.take(part);
    clock.advance(delayMs - 1);
    expect(trials.isDue(assessment)).toBe(false);
    clock.advance(1);

    expect(trials.isDue(assessment)).toBe(true);
  });

  it.each([
    ['has no row of the request', REPORT, '~unknown'],
    ['has a row with odd counts', { ...REPORT, trials: 'none' }, DIGEST],
    ['has a row with a negative count', { ...REPORT, trials: -5 }, DIGEST],
    ['has a row with a fraction', { ...REPORT, trials: 0.5 }, DIGEST],
    ['has a row with an odd time', { ...REPORT, trials: 1, lastTrialMs: -1e300 }, DIGEST],
    ['has a row with too many', { ...REPORT, trials: 1e300 }, DIGEST],
    ['has a row without a report', { part: DIGEST }, DIGEST],
  ])('are not taken if the store %s', async (_, row, digest) => {
    const { trials } = newGateway((await newStore(row)).records);

    expect(await trials.take(digest)).toBe(false);
  });

  it('are not taken while the store is away, or does not say that it has counted one', async () => {
    const { records } = await newStore();
    const away: RecordStore = {
      ...records,
      read: () => Promise.resolve(newFailure({ kind: 'unavailable', detail: 'away' })),
    };
    const lossy = newMemoryStore(() => COMMIT_FAULT.answerLost).records;

    expect(await newGateway(away).trials.take(DIGEST)).toBe(false);
    expect(await newGateway({ ...records, commit: lossy.commit }).trials.take(DIGEST)).toBe(false);
  });
});
