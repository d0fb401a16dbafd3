import fc from 'fast-check';
import { newAttemptLedger, type AttemptLedger, type AttemptIdentity } from '@anvilpaddle/decisions';

const BOUNDS = { retentionMs: 100, maxRecords: 6, maxSenders: 2 } as const;
const SENDERS = 4;
const SEQUENCES = 4;
const RUNS = 1500;

/** Naive ledger: remembers every attempt for ever. */
const newNaiveLedger = (): AttemptLedger => {
  const states = new Map<string, 'queued' | 'sent' | 'done' | 'revoked'>();
  const isState = (attempt: string, state: string): boolean => states.get(attempt) === state;
  return {
    register: ({ attempt }) => {
      if (isState(attempt, 'revoked')) return 'revoked';
      if (states.has(attempt)) return 'duplicate';
      states.set(attempt, 'queued');
      return 'accepted';
    },
    markSent: (attempt) => isState(attempt, 'queued') && states.set(attempt, 'sent') !== undefined,
    cancelQueued: (attempt) =>
      isState(attempt, 'queued') && states.set(attempt, 'revoked') !== undefined,
    finish: (attempt, reached) => {
      if (isState(attempt, 'sent')) states.set(attempt, reached ? 'done' : 'revoked');
    },
    revoke: ({ attempt }) => {
      const state = states.get(attempt);
      if (state === 'sent' || state === 'done') return state;
      states.set(attempt, 'revoked');
      return 'not_sent';
    },
    state: (attempt) => states.get(attempt),
    open: () => [...states.values()].filter((s) => s === 'queued' || s === 'sent').length,
    recordCount: () => states.size,
  };
};

const nameArbitrary = fc
  .tuple(fc.integer({ min: 0, max: SENDERS - 1 }), fc.integer({ min: 1, max: SEQUENCES }))
  .map(([sender, number]): AttemptIdentity => ({
    attempt: `att_${sender}_${number}`,
    sender: `inc_${sender}`,
    // Later incarnations start beyond earlier ones.
    sequence: sender * SEQUENCES + number,
  }));

const stepArbitrary = fc.record({
  act: fc.constantFrom('arrive', 'arrive', 'start', 'giveUp', 'reach', 'miss', 'revoke'),
  name: nameArbitrary,
  waitMs: fc.constantFrom(0, 0, 10, 60),
});
const stepsArbitrary = fc.array(stepArbitrary, { maxLength: 100, size: 'max' });
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never;

const applyStep = (ledger: AttemptLedger, { act, name }: Step, nowMs: number): unknown => {
  switch (act) {
    case 'arrive':
      return ledger.register(name, nowMs);
    case 'start':
      return ledger.markSent(name.attempt, nowMs);
    case 'giveUp':
      return ledger.cancelQueued(name.attempt, nowMs);
    case 'revoke':
      return ledger.revoke(name, nowMs);
    default:
      return ledger.finish(name.attempt, act === 'reach', nowMs);
  }
};

const CAUTIOUS: readonly unknown[] = ['expired', 'full'];

describe('the ledger of attempts', () => {
  it('answers as a ledger that forgets nothing, or more cautiously, within bounded memory', () => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const ledger = newAttemptLedger(BOUNDS);
        const naive = newNaiveLedger();
        let nowMs = 0;
        for (const step of steps) {
          nowMs += step.waitMs;
          const answer = applyStep(ledger, step, nowMs);
          // What the ledger refuses for caution has no effect, so the naive one is not told.
          if (CAUTIOUS.includes(answer)) continue;
          const expected = applyStep(naive, step, nowMs);
          if (answer !== expected) expect({ step, answer }).toEqual({ step, answer: expected });
        }
        const bound = 2 * BOUNDS.maxRecords + BOUNDS.maxSenders;
        expect(ledger.recordCount()).toBeLessThanOrEqual(bound);
      }),
      { seed: 20_261, numRuns: RUNS },
    );
  });

  it('starts no attempt twice and none that was revoked, whatever the order of messages', () => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const ledger = newAttemptLedger(BOUNDS);
        const started = new Set<string>();
        const notSent = new Set<string>();
        let nowMs = 0;
        for (const step of steps) {
          nowMs += step.waitMs;
          const answer = applyStep(ledger, step, nowMs);
          const { attempt } = step.name;
          if (step.act === 'start' && answer === true) {
            if (started.has(attempt) || notSent.has(attempt)) throw new Error(`${attempt} twice`);
            started.add(attempt);
          }
          if (answer === 'not_sent') notSent.add(attempt);
        }
      }),
      { seed: 20_262, numRuns: RUNS },
    );
  });

  it.each([
    ['a copy of one that waits', ['arrive'], 'arrive', 'duplicate'],
    ['a copy of one that was sent', ['arrive', 'start'], 'arrive', 'duplicate'],
    ['a copy of one that is done', ['arrive', 'start', 'reach'], 'arrive', 'duplicate'],
    ['one that its revocation overtook', ['revoke'], 'arrive', 'revoked'],
    ['a revocation of one that waits', ['arrive'], 'revoke', 'not_sent'],
    ['a revocation of one that was sent', ['arrive', 'start'], 'revoke', 'sent'],
    ['a revocation of one that is done', ['arrive', 'start', 'reach'], 'revoke', 'done'],
    ['a revocation of one unreached', ['arrive', 'start', 'miss'], 'revoke', 'not_sent'],
    ['the start of one revoked in between', ['arrive', 'revoke'], 'start', false],
    ['the start of one whose caller is gone', ['arrive', 'giveUp'], 'start', false],
  ] as const)('settles %s', (_case, before, act, expected) => {
    const ledger = newAttemptLedger(BOUNDS);
    const name = { attempt: 'att_1', sender: 'inc_1', sequence: 1 };
    before.forEach((earlier) => applyStep(ledger, { act: earlier, name, waitMs: 0 }, 0));

    expect(applyStep(ledger, { act, name, waitMs: 0 }, 0)).toBe(expected);
  });

  it('refuses a late copy after the note on it was forgotten', () => {
    const ledger = newAttemptLedger(BOUNDS);
    const name = { attempt: 'att_1', sender: 'inc_1', sequence: 1 };
    const later = { attempt: 'att_2', sender: 'inc_1', sequence: 2 };
    ledger.revoke(name, 0);
    ledger.revoke(later, BOUNDS.retentionMs + 1);

    expect(ledger.state('att_1')).toBeUndefined();
    expect(ledger.register(name, BOUNDS.retentionMs + 1)).toBe('expired');
    expect(ledger.revoke(name, BOUNDS.retentionMs + 1)).toBe('expired');
  });
});
