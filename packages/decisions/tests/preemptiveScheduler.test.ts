import fc from 'fast-check';
import type { Effect, Scheduler } from '../scheduling/scheduler';
import { PreemptiveScheduler, type SchedulerBounds } from '../scheduling/preemptiveScheduler';
import { formatEffects, newWork, trainEstimates } from './schedulingKit';

const BATCH = { serviceClass: 'batch' } as const;
const newScheduler = (part: Partial<SchedulerBounds> = {}): PreemptiveScheduler =>
  new PreemptiveScheduler({ slots: 2, reserve: 0, getMaxWaitMs: () => 5000, ...part });

type Step = readonly [description: string, act: (scheduler: Scheduler) => Effect[] | boolean];
const enqueue = (id: string, nowMs: number, part = {}): Step => [
  `${nowMs} enqueue ${id}`,
  (scheduler) => scheduler.enqueue(newWork(id, part), nowMs),
];
const finish = (id: string, nowMs: number, tokens = 10): Step => [
  `${nowMs} finish ${id} with ${tokens} tokens`,
  (scheduler) => scheduler.finish(id, tokens, nowMs),
];
const tick = (nowMs: number): Step => [`${nowMs} tick`, (scheduler) => scheduler.tick(nowMs)];
const withdraw = (id: string): Step => [`withdraw ${id}`, (scheduler) => scheduler.withdraw(id)];

const SCENARIOS: readonly (readonly [
  name: string,
  bounds: Partial<SchedulerBounds>,
  steps: readonly Step[],
])[] = [
  [
    'an online request preempts the most recently started item and starts once that has ended',
    {},
    [
      enqueue('old', 0, BATCH),
      enqueue('young', 1, BATCH),
      enqueue('online', 2),
      finish('young', 3, 0),
    ],
  ],
  [
    'a preempted item starts before later items of its team, after the restart delay',
    {},
    [
      enqueue('i1', 0, BATCH),
      enqueue('i2', 0, BATCH),
      enqueue('i3', 0, BATCH),
      enqueue('online', 1),
      finish('i2', 2, 0),
      enqueue('i2', 2, { ...BATCH, wasPreempted: true }),
      finish('online', 10),
      tick(50),
    ],
  ],
  [
    'an item that must not be cancelled is not preempted',
    {},
    [
      enqueue('i1', 0, BATCH),
      enqueue('once', 1, { ...BATCH, isPreemptible: false }),
      enqueue('x', 2),
      enqueue('y', 3),
    ],
  ],
  [
    'the reserve stays free and is restored by a preemption',
    { slots: 3, reserve: 1 },
    [
      enqueue('i1', 0, BATCH),
      enqueue('i2', 0, BATCH),
      enqueue('i3', 0, BATCH),
      enqueue('x', 1),
      finish('i2', 2, 0),
    ],
  ],
  [
    'an item that ends by itself while it is being preempted frees its slot once',
    {},
    [
      enqueue('i1', 0, BATCH),
      enqueue('i2', 0, BATCH),
      enqueue('x', 1),
      finish('i2', 2, 40),
      finish('i2', 2, 0),
      enqueue('y', 3),
    ],
  ],
  [
    'an item that keeps running after its preemption causes the preemption of one more item',
    {},
    [enqueue('i1', 0, BATCH), enqueue('i2', 0, BATCH), enqueue('x', 1), tick(50), tick(101)],
  ],
  [
    'the end of unknown work and the second use of an id change nothing',
    { slots: 1 },
    [
      finish('ghost', 0),
      enqueue('x', 1),
      enqueue('x', 2),
      finish('x', 3),
      finish('x', 4),
      enqueue('y', 5),
      enqueue('z', 6),
      enqueue('z', 7),
      finish('y', 8),
    ],
  ],
  [
    'waiting work is withdrawn once, running work never',
    { slots: 1 },
    [
      enqueue('x', 0),
      enqueue('y', 1),
      enqueue('i', 1, BATCH),
      withdraw('y'),
      withdraw('y'),
      withdraw('x'),
      withdraw('i'),
      withdraw('ghost'),
      finish('x', 2),
    ],
  ],
  [
    'after a pause of the process, work past its deadline does not start',
    { slots: 1 },
    [
      enqueue('x', 0),
      enqueue('late', 1, { deadlineMs: 500 }),
      enqueue('late-item', 1, { ...BATCH, deadlineMs: 500 }),
      enqueue('good', 2, { deadlineMs: 90_000 }),
      finish('x', 4000),
      finish('good', 4001),
      tick(4050),
    ],
  ],
  ['work that arrives after its deadline is refused', {}, [enqueue('x', 100, { deadlineMs: 100 })]],
  [
    'batch work stays within its own limit',
    { slots: 3, batchSlots: 1 },
    [enqueue('i1', 0, BATCH), enqueue('i2', 0, BATCH), finish('i1', 5)],
  ],
];

describe('PreemptiveScheduler', () => {
  it.each(SCENARIOS)('%s', (_name, bounds, steps) => {
    const scheduler = newScheduler(bounds);

    const lines = steps.map(([description, act]) => {
      const result = act(scheduler);
      const text = typeof result === 'boolean' ? String(result) : formatEffects(result).join(', ');
      return `${description} -> ${text || 'nothing'}`;
    });

    expect(lines).toMatchSnapshot();
  });

  it('refuses work on arrival that would wait too long, and says when to retry', () => {
    const scheduler = newScheduler({ slots: 1, getMaxWaitMs: () => 1000 });
    trainEstimates(scheduler, {}, 100, 400);
    const effects = [1, 2, 3, 4, 5].flatMap((index) =>
      scheduler.enqueue(newWork(`r${index}`), index),
    );

    expect(formatEffects(effects)).toEqual([
      'start r1',
      'refuse r4 overloaded after 197',
      'refuse r5 overloaded after 196',
    ]);
  });

  it('refuses work on arrival that cannot meet its deadline', () => {
    const scheduler = newScheduler({ slots: 1 });
    trainEstimates(scheduler, {}, 100, 400);
    scheduler.enqueue(newWork('r1'), 0);

    expect(formatEffects(scheduler.enqueue(newWork('r2', { deadlineMs: 700 }), 0))).toEqual([
      'refuse r2 deadline after 100',
    ]);
  });

  it('starts work in a free slot even if it is expected to miss its deadline', () => {
    const scheduler = newScheduler({ slots: 1 });
    trainEstimates(scheduler, {}, 100, 4000);

    expect(formatEffects(scheduler.enqueue(newWork('r1', { deadlineMs: 700 }), 0))).toEqual([
      'start r1',
    ]);
  });

  it('never refuses a team within its share because of the queue of another team', () => {
    const team = fc.constantFrom('b', 'c', 'd');
    const arrival = fc.record({ team, count: fc.integer({ min: 1, max: 60 }) });
    fc.assert(
      fc.property(
        fc.array(arrival, { maxLength: 10 }),
        fc.integer({ min: 1, max: 5000 }),
        (arrivals, durationMs) => {
          const scheduler = newScheduler({ slots: 4, getMaxWaitMs: () => 100 });
          ['b', 'c', 'd'].forEach((other) =>
            trainEstimates(scheduler, { team: other }, 50, durationMs),
          );
          arrivals.forEach(({ team: other, count }, turn) => {
            for (let index = 0; index < count; index += 1) {
              scheduler.enqueue(newWork(`${turn}-${index}`, { team: other }), turn);
            }
          });

          const effects = scheduler.enqueue(newWork('mine', { team: 'a' }), 11);

          expect(effects.filter(({ kind }) => kind === 'refuse')).toEqual([]);
        },
      ),
      { seed: 20, numRuns: 200 },
    );
  });

  it('has no spare slots for batch work while online work waits', () => {
    const scheduler = newScheduler({ slots: 2 });
    const spareSlotsBefore = scheduler.spareSlots();
    ['r1', 'r2', 'r3'].forEach((id) => scheduler.enqueue(newWork(id), 0));

    expect([spareSlotsBefore, scheduler.spareSlots()]).toEqual([2, 0]);
  });

  it('reports running online work and batch work separately', () => {
    const scheduler = newScheduler({ slots: 2 });
    scheduler.enqueue(newWork('i1', BATCH), 0);
    scheduler.enqueue(newWork('x'), 0);
    scheduler.enqueue(newWork('y'), 0);

    expect(scheduler.load()).toEqual({ running: 1, waiting: 1, slots: 2, batch: 1 });
  });

  it('respects its slots, its reserve and the priority of online work in any sequence of events', () => {
    const action = fc.record({
      kind: fc.constantFrom('online', 'online', 'batch', 'batch', 'finish', 'withdraw', 'tick'),
      pick: fc.nat(1000),
      elapsedMs: fc.nat(80),
      tokens: fc.nat(200),
    });
    fc.assert(
      fc.property(
        fc.array(action, { minLength: 40, maxLength: 150 }),
        fc.integer({ min: 1, max: 5 }),
        fc.integer({ min: 0, max: 2 }),
        (actions, slots, reserve) => {
          const scheduler = newScheduler({ slots, reserve, getMaxWaitMs: () => 500 });
          const running = new Map<string, string>();
          const waiting = new Map<string, string>();
          let nowMs = 0;
          const applyEffects = (effects: readonly Effect[]): void => {
            effects.forEach((effect) => {
              const serviceClass = waiting.get(effect.id) ?? '';
              if (effect.kind === 'preempt') expect(running.get(effect.id)).toBe('batch');
              else expect(waiting.delete(effect.id)).toBe(true);
              if (effect.kind !== 'start') return;
              running.set(effect.id, serviceClass);
              const limit = serviceClass === 'batch' ? slots - reserve : slots;
              expect(running.size).toBeLessThanOrEqual(limit);
            });
            const isOnlineWaiting = [...waiting.values()].includes('online');
            const starts = effects.filter(({ kind, id }) => kind === 'start' && running.has(id));
            const batchStarts = starts.filter(({ id }) => running.get(id) === 'batch');
            if (isOnlineWaiting) expect(batchStarts).toEqual([]);
            if (isOnlineWaiting) expect(running.size).toBe(slots);
          };
          actions.forEach(({ kind, pick, elapsedMs, tokens }, index) => {
            nowMs += elapsedMs;
            const id = `w${index}`;
            if (kind === 'online' || kind === 'batch') {
              waiting.set(id, kind);
              const part = { serviceClass: kind, team: `t${pick % 3}`, deadlineMs: nowMs + 2000 };
              applyEffects(scheduler.enqueue(newWork(id, part), nowMs));
            }
            const target = [...running.keys(), ...waiting.keys()][pick % 7] ?? 'ghost';
            if (kind === 'withdraw') {
              expect(scheduler.withdraw(target)).toBe(waiting.delete(target));
            }
            if (kind === 'finish') {
              if (waiting.has(target)) return;
              running.delete(target);
              applyEffects(scheduler.finish(target, tokens, nowMs));
            }
            if (kind === 'tick') applyEffects(scheduler.tick(nowMs));
          });

          expect(scheduler.waiting()).toBe(waiting.size);
          expect(scheduler.load().running + (scheduler.load().batch ?? 0)).toBe(running.size);
        },
      ),
      { seed: 21, numRuns: 300 },
    );
  });
});
