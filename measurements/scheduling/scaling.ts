/** Cost of the scheduler by the number of waiting requests. */
import { newSeededRandom } from '@anvilpaddle/common';
import type { Effect, Work } from '@anvilpaddle/decisions';
import { print } from './report';
import { newProductScheduler, SLOTS } from './schedulingSetup';

/** Prints the time of a decision and the memory of a waiting request at three queue sizes. */
export const measureScaling = (): void => {
  print(
    '\nwaiting requests | teams | microseconds for each enqueue and finish | bytes a waiting request',
  );
  [
    [100, 10],
    [1000, 100],
    [10_000, 1000],
  ].forEach(([waiting = 0, teams = 1]) => {
    const random = newSeededRandom(7);
    const scheduler = newProductScheduler({ getMaxWaitMs: () => Infinity });
    const newWork = (id: number): Work => ({
      id: `w${id}`,
      team: `team-${Math.floor(random() * teams)}`,
      route: 'r',
      serviceClass: 'online',
      weight: 1,
      maxTokens: undefined,
      deadlineMs: Infinity,
    });
    const running: string[] = [];
    const trackStarts = (effects: readonly Effect[]): void =>
      effects.forEach(({ kind, id }) => {
        if (kind === 'start') running.push(id);
      });
    global.gc?.();
    const emptyBytes = process.memoryUsage().heapUsed;
    let id = 0;
    for (; id < waiting + SLOTS; id += 1) trackStarts(scheduler.enqueue(newWork(id), id));
    global.gc?.();
    const bytes = (process.memoryUsage().heapUsed - emptyBytes) / waiting;
    const rounds = 5000;
    const startMs = performance.now();
    for (let round = 0; round < rounds; round += 1) {
      id += 1;
      trackStarts(scheduler.enqueue(newWork(id), id));
      trackStarts(scheduler.finish(running.shift() ?? '', 60, id));
    }
    const microseconds = ((performance.now() - startMs) * 1000) / rounds;
    print(`${waiting} | ${teams} | ${microseconds.toFixed(1)} | ${bytes.toFixed(0)}`);
  });
};
