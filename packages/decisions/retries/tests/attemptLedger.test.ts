/** The attempt ledger against a model that never removes a record. */
import fc from 'fast-check';
import { newAttemptLedger, type AttemptLedger, type AttemptIdentity } from '@anvilpaddle/decisions';

const BOUNDS = { retentionMs: 100, maxRecords: 6, maxSenders: 2 } as const;
const SENDERS = 4;
const SEQUENCES = 4;
const RUNS = 1500;

/** Model of the ledger that keeps the record of every attempt. */
const newModelLedger = (): AttemptLedger => {
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

const identityArbitrary = fc
  .tuple(fc.integer({ min: 0, max: SENDERS - 1 }), fc.integer({ min: 1, max: SEQUENCES }))
  .map(([sender, number]): AttemptIdentity => ({
    attempt: `att_${sender}_${number}`,
    sender: `inc_${sender}`,
    // The sequence numbers of a later incarnation start above those of an earlier one.
    sequence: sender * SEQUENCES + number,
  }));

const stepArbitrary = fc.record({
  act: fc.constantFrom('arrive', 'arrive', 'start', 'giveUp', 'reach', 'miss', 'revoke'),
  name: identityArbitrary,
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

const CAUTIOUS_REFUSALS: readonly unknown[] = ['expired', 'full'];

describe('attempt ledger', () => {
  it('answers like a ledger that keeps all records, or more cautiously, within bounded memory', () => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const ledger = newAttemptLedger(BOUNDS);
        const model = newModelLedger();
        let nowMs = 0;
        for (const step of steps) {
          nowMs += step.waitMs;
          const answer = applyStep(ledger, step, nowMs);
          // A cautious refusal has no effect on the ledger, so the step is not applied to the model.
          if (CAUTIOUS_REFUSALS.includes(answer)) continue;
          const expected = applyStep(model, step, nowMs);
          if (answer !== expected) expect({ step, answer }).toEqual({ step, answer: expected });
        }
        const maxRecordCount = 2 * BOUNDS.maxRecords + BOUNDS.maxSenders;
        expect(ledger.recordCount()).toBeLessThanOrEqual(maxRecordCount);
      }),
      { seed: 20_261, numRuns: RUNS },
    );
  });

  it('never starts an attempt twice or after its revocation, whatever the order of messages', () => {
    fc.assert(
      fc.property(stepsArbitrary, (steps) => {
        const ledger = newAttemptLedger(BOUNDS);
        const sent = new Set<string>();
        const revoked = new Set<string>();
        let nowMs = 0;
        for (const step of steps) {
          nowMs += step.waitMs;
          const answer = applyStep(ledger, step, nowMs);
          const { attempt } = step.name;
          if (step.act === 'start' && answer === true) {
            if (sent.has(attempt) || revoked.has(attempt)) throw new Error(`${attempt} restarted`);
            sent.add(attempt);
          }
          if (answer === 'not_sent') revoked.add(attempt);
        }
      }),
      { seed: 20_262, numRuns: RUNS },
    );
  });

  it.each([
    ['a duplicate of a queued attempt', ['arrive'], 'arrive', 'duplicate'],
    ['a duplicate of a sent attempt', ['arrive', 'start'], 'arrive', 'duplicate'],
    ['a duplicate of a finished attempt', ['arrive', 'start', 'reach'], 'arrive', 'duplicate'],
    ['an attempt that arrives after its revocation', ['revoke'], 'arrive', 'revoked'],
    ['a revocation of a queued attempt', ['arrive'], 'revoke', 'not_sent'],
    ['a revocation of a sent attempt', ['arrive', 'start'], 'revoke', 'sent'],
    ['a revocation of a finished attempt', ['arrive', 'start', 'reach'], 'revoke', 'done'],
    [
      'a revocation of an attempt that never reached the upstream',
      ['arrive', 'start', 'miss'],
      'revoke',
      'not_sent',
    ],
    ['the start of an attempt revoked while queued', ['arrive', 'revoke'], 'start', false],
    ['the start of an attempt whose caller disconnected', ['arrive', 'giveUp'], 'start', false],
  ] as const)('handles %s', (_case, before, act, expected) => {
    const ledger = newAttemptLedger(BOUNDS);
    const name = { attempt: 'att_1', sender: 'inc_1', sequence: 1 };
    before.forEach((earlier) => applyStep(ledger, { act: earlier, name, waitMs: 0 }, 0));

    expect(applyStep(ledger, { act, name, waitMs: 0 }, 0)).toBe(expected);
  });

  it('refuses a late duplicate after its record was removed', () => {
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
