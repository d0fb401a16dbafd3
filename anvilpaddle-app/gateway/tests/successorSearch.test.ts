import { ManualClock, newSilentLogger } from '@anvilpaddle/common';
import type { AttemptReport } from '../callerResponse';
import type { AttemptListener, OnlineAttempt } from '../online/onlineAttempt';
import { runWithSuccessor, type SuccessorSource } from '../online/successorSearch';
import type { HedgeEnd } from '../online/types';
import type { Upstream } from '../types';

const HEDGE_DELAY_MS = 100;
const ANSWERED: AttemptReport = { run: 'ran', answered: true };
const LOST: AttemptReport = { run: 'unknown', answered: false };

/** Attempt whose progress a test decides. */
interface FakeAttempt extends OnlineAttempt {
  isAbandoned(): boolean;
  answer(): void;
  end(report: AttemptReport): void;
}

const newFakeAttempt = (id: string): FakeAttempt => {
  let listener: AttemptListener | undefined;
  let isAbandoned = false;
  let resolve: (report: AttemptReport) => void = () => undefined;
  const ended = new Promise<AttemptReport>((done) => {
    resolve = done;
  });
  return {
    upstream: { id } as Upstream,
    ended,
    listen: (next) => {
      listener = next;
    },
    abandon: () => {
      isAbandoned = true;
      resolve(LOST);
    },
    isAbandoned: () => isAbandoned,
    answer: () => {
      listener?.onContent();
      listener?.onAnswer();
    },
    end: resolve,
  };
};

const start = (canRunTwice: boolean, hasRoom = true) => {
  const clock = new ManualClock();
  const first = newFakeAttempt('first');
  const hedge = newFakeAttempt('hedge');
  const ends: HedgeEnd[] = [];
  const failed: string[] = [];
  let isOpened = false;
  const source: SuccessorSource = {
    startRound: () => undefined,
    open: () => undefined,
    onFailed: ({ upstream }) => failed.push(upstream.id),
    canRunTwice,
    onUnused: () => undefined,
    hedgeDelayMs: HEDGE_DELAY_MS,
    openHedge: () => {
      if (!hasRoom) return undefined;
      isOpened = true;
      return hedge;
    },
    onHedgeEnded: (end) => ends.push(end),
  };
  const log = newSilentLogger();
  const result = runWithSuccessor(first, source, 'request', clock, log);
  return { clock, first, hedge, ends, failed, result, isOpened: () => isOpened };
};

describe('a slow attempt', () => {
  it('is not hedged before its time, nor when it has answered', async () => {
    const { clock, first, result, isOpened } = start(true);
    clock.advance(HEDGE_DELAY_MS - 1);
    first.answer();
    clock.advance(1000);
    first.end(ANSWERED);

    expect(await result).toEqual({ report: ANSWERED, successor: undefined });
    expect(isOpened()).toBe(false);
  });

  it('is closed when its hedge answers, which then has the request', async () => {
    const { clock, first, hedge, ends, result } = start(true);
    clock.advance(HEDGE_DELAY_MS);
    hedge.answer();

    expect(first.isAbandoned()).toBe(true);
    expect((await result).successor).toBe(hedge);
    expect(ends).toEqual(['won']);
  });

  it('keeps the request when it answers first, and its hedge is closed', async () => {
    const { clock, first, hedge, ends, result } = start(true);
    clock.advance(HEDGE_DELAY_MS);
    first.answer();
    hedge.answer();
    first.end(ANSWERED);

    expect(hedge.isAbandoned()).toBe(true);
    expect(first.isAbandoned()).toBe(false);
    expect(await result).toEqual({ report: ANSWERED, successor: undefined });
    expect(ends).toEqual(['lost']);
  });

  it('runs no stream at two upstreams for longer than 400 ms', async () => {
    const { clock, first, hedge, ends, result } = start(false);
    clock.advance(HEDGE_DELAY_MS);
    clock.advance(300);

    expect([first.isAbandoned(), hedge.isAbandoned()]).toEqual([false, true]);
    first.end(ANSWERED);
    await result;
    expect(ends).toEqual(['timedOut']);
  });

  it('leaves the request to its hedge when it is lost', async () => {
    const { clock, first, hedge, ends, result } = start(false);
    clock.advance(HEDGE_DELAY_MS);
    first.end(LOST);

    expect((await result).successor).toBe(hedge);
    expect(hedge.isAbandoned()).toBe(false);
    expect(ends).toEqual(['won']);
  });

  it('goes on alone when its hedge is rejected, or there is no room for one', async () => {
    const rejected = start(true);
    rejected.clock.advance(HEDGE_DELAY_MS);
    rejected.hedge.end({ run: 'not_run', answered: false });
    await rejected.hedge.ended;
    const full = start(true, false);
    full.clock.advance(HEDGE_DELAY_MS);
    [rejected, full].forEach(({ first }) => first.end(ANSWERED));

    expect([await rejected.result, await full.result].map(({ successor }) => successor)).toEqual([
      undefined,
      undefined,
    ]);
    expect({ ends: rejected.ends, failed: rejected.failed }).toEqual({
      ends: ['failed'],
      failed: ['hedge'],
    });
    expect(full.ends).toEqual([]);
  });
});
