import { newAttemptBudget, type AttemptBudget } from '../attemptBudget';

const UPSTREAMS = ['u1', 'u2', 'u3', 'u4'];

const getAllowed = (budget: AttemptBudget): string[] =>
  UPSTREAMS.filter((upstream) => budget.allows(upstream));

const newBudget = (...steps: ((budget: AttemptBudget) => void)[]): AttemptBudget => {
  const budget = newAttemptBudget(2);
  steps.forEach((step) => step(budget));
  return budget;
};

const begin = (upstream: string) => (budget: AttemptBudget) => budget.begin(upstream);
const reject = (upstream: string) => (budget: AttemptBudget) => budget.reject(upstream);
const giveUp = (upstream: string) => (budget: AttemptBudget) => budget.giveUp(upstream);

describe('the budget of a request that two upstreams may run', () => {
  it.each([
    ['nothing', [], UPSTREAMS, 0],
    ['one attempt', [begin('u1')], ['u2', 'u3', 'u4'], 1],
    ['two attempts', [begin('u1'), begin('u2')], [], 2],
    ['a rejection', [begin('u1'), reject('u1')], ['u2', 'u3', 'u4'], 0],
    ['a second that was given up', [begin('u1'), begin('u2'), giveUp('u2')], ['u2'], 1],
    [
      'a second that was given up and begun again',
      [begin('u1'), begin('u2'), giveUp('u2'), begin('u2')],
      [],
      2,
    ],
    [
      'a second that was given up, and rejects later',
      [begin('u1'), begin('u2'), giveUp('u2'), begin('u2'), reject('u2')],
      [],
      2,
    ],
  ])('after %s', (_, steps, allowed, used) => {
    const budget = newBudget(...steps);
    expect({ allowed: getAllowed(budget), used: budget.countUsed() }).toEqual({ allowed, used });
  });

  it('lets upstreams that have rejected the request be tried again', () => {
    const budget = newBudget(begin('u1'), begin('u2'), reject('u2'));
    budget.readmit(['u2']);
    expect(getAllowed(budget)).toEqual(['u2', 'u3', 'u4']);
  });
});
