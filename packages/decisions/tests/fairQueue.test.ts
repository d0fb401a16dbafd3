import fc from 'fast-check';
import { newFairQueue } from '../scheduling/fairQueue';
import type { QueueEntry } from '../scheduling/teamQueue';
import { newWork } from './schedulingKit';

const MAX_TOKENS = 1000;
const TEAMS = ['a', 'b', 'c', 'd'];
const WEIGHTS: Readonly<Record<string, number>> = { a: 1, b: 1, c: 2, d: 5 };

const newEntry = (id: string, team: string, tokens: number): QueueEntry => ({
  work: newWork(id, { team, weight: WEIGHTS[team] ?? 1 }),
  estimate: { tokens, durationMs: tokens, upperDurationMs: tokens },
  arrivedMs: 0,
});

interface NaiveTeam {
  waiting: QueueEntry[];
  /** Number of the entry that ended its last idle time; of equal teams the lowest goes first. */
  backloggedSince: number;
  /** All charges and corrections of the team, and the virtual time skipped while it was idle. */
  charges: number[];
}

/** The same rules on plain lists; every number is recomputed from the whole history. */
class NaiveFairQueue {
  private readonly teams = new Map<string, NaiveTeam>();

  /** Virtual times at which work was taken. */
  private readonly starts: number[] = [0];

  private addedCount = 0;

  add(entry: QueueEntry): void {
    const team = this.teams.get(entry.work.team) ?? {
      waiting: [],
      backloggedSince: 0,
      charges: [],
    };
    this.teams.set(entry.work.team, team);
    this.addedCount += 1;
    if (team.waiting.length === 0) team.backloggedSince = this.addedCount;
    const lag = Math.max(...this.starts) - this.getVirtualTime(team);
    if (team.waiting.length === 0 && lag > 0) team.charges.push(lag);
    team.waiting.push(entry);
  }

  take(): QueueEntry | undefined {
    const backlogged = [...this.teams.values()].filter(({ waiting }) => waiting.length > 0);
    const lowestVirtualTime = Math.min(...backlogged.map((team) => this.getVirtualTime(team)));
    const next = backlogged
      .filter((team) => this.getVirtualTime(team) === lowestVirtualTime)
      .sort((a, b) => a.backloggedSince - b.backloggedSince)[0];
    const entry = next?.waiting.shift();
    if (next === undefined || entry === undefined) return undefined;
    this.starts.push(lowestVirtualTime);
    next.charges.push(entry.estimate.tokens / entry.work.weight);
    return entry;
  }

  remove(id: string): QueueEntry | undefined {
    const team = [...this.teams.values()].find(({ waiting }) =>
      waiting.some(({ work }) => work.id === id),
    );
    const entry = team?.waiting.find(({ work }) => work.id === id);
    if (team !== undefined) team.waiting = team.waiting.filter(({ work }) => work.id !== id);
    return entry;
  }

  settle(entry: QueueEntry, usedTokens: number): void {
    const difference = usedTokens - entry.estimate.tokens;
    this.teams.get(entry.work.team)?.charges.push(difference / entry.work.weight);
  }

  private getVirtualTime({ charges }: NaiveTeam): number {
    return charges.reduce((sum, charge) => sum + charge, 0);
  }
}

describe('newFairQueue', () => {
  it('takes the same work as the naive queue', () => {
    // Powers of two, so that no order depends on rounding.
    const tokens = fc.integer({ min: 0, max: 9 }).map((power) => 2 ** power * 5);
    const action = fc.record({
      kind: fc.constantFrom('add', 'add', 'add', 'take', 'take', 'take', 'settle', 'remove'),
      team: fc.constantFrom('a', 'b', 'c', 'd'),
      tokens,
      pick: fc.nat(1000),
    });
    fc.assert(
      fc.property(fc.array(action, { minLength: 60, maxLength: 200 }), (actions) => {
        const queue = newFairQueue();
        const naive = new NaiveFairQueue();
        const taken: QueueEntry[] = [];
        actions.forEach(({ kind, team, tokens: amount, pick }, index) => {
          if (kind === 'add') {
            const entry = newEntry(`w${index}`, team, amount);
            queue.add(entry, 'back');
            naive.add(entry);
          }
          if (kind === 'take') {
            const entry = queue.take(index);
            expect(entry?.work.id).toBe(naive.take()?.work.id);
            if (entry !== undefined) taken.push(entry);
          }
          if (kind === 'remove') {
            const id = `w${pick % (index + 1)}`;
            expect(queue.remove(id)?.work.id).toBe(naive.remove(id)?.work.id);
          }
          const [settled] = kind === 'settle' ? taken.splice(pick % taken.length || 0, 1) : [];
          if (settled === undefined) return;
          queue.settle(settled, amount, index);
          naive.settle(settled, amount);
        });
      }),
      { seed: 30, numRuns: 500 },
    );
  });

  it('serves backlogged teams by weight, however wrong the estimates are', () => {
    const workShape = fc.record({
      estimate: fc.integer({ min: 1, max: MAX_TOKENS }),
      used: fc.integer({ min: 1, max: MAX_TOKENS }),
    });
    fc.assert(
      fc.property(
        fc.array(workShape, { minLength: 40, maxLength: 300 }),
        fc.integer({ min: 1, max: 6 }),
        (items, slots) => {
          const queue = newFairQueue();
          const used = new Map<string, number>();
          const running: QueueEntry[] = [];
          const served = new Map(TEAMS.map((team) => [team, 0]));
          let nextIndex = 0;
          const addWork = (team: string): void => {
            const { estimate, used: tokens } = items[nextIndex % items.length] ?? items[0]!;
            used.set(`w${nextIndex}`, tokens);
            queue.add(newEntry(`w${nextIndex}`, team, estimate), 'back');
            nextIndex += 1;
          };
          // Every team always has two waiting entries, so that all teams are backlogged.
          TEAMS.forEach((team) => [1, 2].forEach(() => addWork(team)));
          items.forEach(() => {
            while (running.length < slots) {
              const entry = queue.take(0)!;
              running.push(entry);
              addWork(entry.work.team);
            }
            const ended = running.shift()!;
            const tokens = used.get(ended.work.id) ?? 0;
            queue.settle(ended, tokens, 0);
            const { team } = ended.work;
            served.set(team, (served.get(team) ?? 0) + tokens);
          });
          const servedByWeight = TEAMS.map(
            (team) => (served.get(team) ?? 0) / (WEIGHTS[team] ?? 1),
          );

          // Each team may deviate by its running work and one more entry.
          const bound = 2 * (slots + 1) * MAX_TOKENS;
          expect(Math.max(...servedByWeight) - Math.min(...servedByWeight)).toBeLessThanOrEqual(
            bound,
          );
        },
      ),
      { seed: 31, numRuns: 300 },
    );
  });

  it('gives no credit for idle time', () => {
    const queue = newFairQueue();
    queue.add(newEntry('early', 'b', 100), 'back');
    queue.settle(queue.take(0)!, 100, 0);
    for (let index = 0; index < 100; index += 1) {
      queue.add(newEntry(`a${index}`, 'a', 100), 'back');
      queue.settle(queue.take(index)!, 100, index);
    }
    for (let index = 0; index < 10; index += 1) {
      queue.add(newEntry(`late${index}`, 'b', 100), 'back');
      queue.add(newEntry(`more${index}`, 'a', 100), 'back');
    }
    const order = Array.from({ length: 10 }, () => queue.take(200)?.work.team);

    // Idle time earns team b at most one entry ahead of its share.
    expect(order.filter((team) => team === 'a').length).toBeGreaterThanOrEqual(4);
  });

  it('evicts idle teams that were served more than their share only after a minute', () => {
    const queue = newFairQueue();
    for (let index = 0; index < 500; index += 1) {
      queue.add(newEntry(`w${index}`, `team-${index}`, 100), 'back');
      queue.settle(queue.take(0)!, 100, 0);
    }
    const beforeEviction = queue.teams();
    queue.evictIdleTeams(59_999);
    const afterFirstEviction = queue.teams();
    queue.evictIdleTeams(60_000);

    expect([beforeEviction, afterFirstEviction, queue.teams()]).toEqual([500, 500, 0]);
  });
});
