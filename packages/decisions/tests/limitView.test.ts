import fc from 'fast-check';
import { loadHashing } from '@anvilpaddle/common';
import type { LimitView } from '@anvilpaddle/protocol';
import { newHolderCache } from '../limits/holderCache';
import {
  getCommitView,
  getHolders,
  getJoinView,
  getRemoveView,
  getShareFraction,
} from '../limits/limitView';

const TEAMS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const NAMES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:9000`);

const getShares = (view: LimitView, team: string): number[] =>
  NAMES.map((name) =>
    getShareFraction(name, team, view, getHolders(team, view.members, view.holders)),
  );
const getSum = (numbers: readonly number[]): number => numbers.reduce((sum, part) => sum + part, 0);

describe('views of who holds tokens', () => {
  beforeAll(loadHashing);

  it('ranks step by step as it would afresh, and never gives out more than the whole', () => {
    const step = fc.record({
      kind: fc.constantFrom('join', 'commit', 'remove'),
      name: fc.constantFrom(...NAMES),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        let view: LimitView = { epoch: 1, members: [NAMES[0] ?? ''], joining: [], holders: 4 };
        let ranking = newHolderCache(view, undefined);
        steps.forEach(({ kind, name }) => {
          const before = view;
          const next = {
            join: () => getJoinView(view, name),
            commit: () => getCommitView(view),
            remove: () => getRemoveView(view, new Set([name])),
          }[kind]();
          if (next === undefined) return;
          view = next;
          ranking = newHolderCache(view, ranking);
          TEAMS.forEach((team) => {
            expect(ranking.holders(team)).toEqual(getHolders(team, view.members, 4));
            const shares = getShares(view, team);
            expect(getSum(shares)).toBeLessThanOrEqual(1 + 1e-9);
            // A member that has not heard of the next view yet still holds by the one before.
            const mixed = getShares(before, team).map((old, index) =>
              NAMES[index] === name && kind === 'remove'
                ? (shares[index] ?? 0)
                : Math.max(old, shares[index] ?? 0),
            );
            expect(getSum(mixed)).toBeLessThanOrEqual(1 + 1e-9);
          });
        });
      }),
      { seed: 20_260_802, numRuns: 200 },
    );
  });
});
