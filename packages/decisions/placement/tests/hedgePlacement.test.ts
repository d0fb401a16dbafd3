import { getHedgeUpstream } from '../hedgePlacement';
import type { Candidate } from '../placement';

const newCandidate = (id: string, fields: Partial<Candidate> = {}): Candidate => ({
  id,
  slots: 8,
  load: { online: 2, batch: 0 },
  weight: 1,
  isSameFailureDomain: true,
  upstreamMeanMs: 100,
  serviceMeanMs: 100,
  limitWaitMs: undefined,
  isCold: false,
  ...fields,
});

const choose = (...candidates: Candidate[]) => getHedgeUpstream(candidates, () => 0.5);

describe('placement of hedges', () => {
  it('chooses a free slot in the own failure domain before a freer one elsewhere', () => {
    const near = newCandidate('near', { load: { online: 6, batch: 0 } });
    const far = newCandidate('far', { isSameFailureDomain: false, load: { online: 0, batch: 0 } });

    expect(choose(near, far)).toBe('near');
    expect(choose({ ...near, load: { online: 6, batch: 2 } }, far)).toBe('far');
  });

  it('preempts no item, and uses up no limit, of an upstream that recovers or has one', () => {
    expect(choose(newCandidate('batch', { load: { online: 2, batch: 6 } }))).toBeUndefined();
    expect(choose(newCandidate('limited', { limitWaitMs: 0 }))).toBeUndefined();
    expect(choose(newCandidate('cold', { isCold: true }))).toBeUndefined();
    expect(choose(newCandidate('recovering', { weight: 0.5 }))).toBeUndefined();
  });

  it('sends no hedge under overload, even to a slot that is free at the moment', () => {
    const full = ['a', 'b', 'c'].map((id) => newCandidate(id, { load: { online: 8, batch: 0 } }));

    expect(
      choose(...full, newCandidate('free', { load: { online: 5, batch: 0 } })),
    ).toBeUndefined();
  });

  it('has nowhere to go without candidates', () => {
    expect(choose()).toBeUndefined();
  });
});
