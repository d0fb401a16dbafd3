/** Property of the limit views: no sequence of changes assigns more than the whole limit. */
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
const ADDRESSES = Array.from({ length: 12 }, (_, index) => `10.0.0.${index}:9000`);

const getFractions = (view: LimitView, team: string): number[] =>
  ADDRESSES.map((address) =>
    getShareFraction(address, team, view, getHolders(team, view.members, view.holders)),
  );
const getSum = (numbers: readonly number[]): number =>
  numbers.reduce((sum, value) => sum + value, 0);

describe('limit views', () => {
  beforeAll(loadHashing);

  it('computes holders incrementally as from scratch, and never assigns more than the whole limit', () => {
    const step = fc.record({
      kind: fc.constantFrom('join', 'commit', 'remove'),
      name: fc.constantFrom(...ADDRESSES),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        let view: LimitView = { epoch: 1, members: [ADDRESSES[0] ?? ''], joining: [], holders: 4 };
        let holderCache = newHolderCache(view, undefined);
        steps.forEach(({ kind, name: address }) => {
          const previousView = view;
          const next = {
            join: () => getJoinView(view, address),
            commit: () => getCommitView(view),
            remove: () => getRemoveView(view, new Set([address])),
          }[kind]();
          if (next === undefined) return;
          view = next;
          holderCache = newHolderCache(view, holderCache);
          TEAMS.forEach((team) => {
            expect(holderCache.holders(team)).toEqual(getHolders(team, view.members, 4));
            const fractions = getFractions(view, team);
            expect(getSum(fractions)).toBeLessThanOrEqual(1 + 1e-9);
            // A member that has not received the next view yet still holds its share of the previous one.
            const combined = getFractions(previousView, team).map((previous, index) =>
              ADDRESSES[index] === address && kind === 'remove'
                ? (fractions[index] ?? 0)
                : Math.max(previous, fractions[index] ?? 0),
            );
            expect(getSum(combined)).toBeLessThanOrEqual(1 + 1e-9);
          });
        });
      }),
      { seed: 20_260_802, numRuns: 200 },
    );
  });
});
