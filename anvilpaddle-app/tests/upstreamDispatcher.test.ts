import { newLogger, ManualClock } from '@anvilpaddle/common';
import { PreemptiveScheduler, type Work } from '@anvilpaddle/decisions';
import {
  newUpstreamDispatcher,
  type UpstreamDispatcher,
  type WorkOwner,
} from '../sidecar/upstreamDispatcher';

const FLOOD = 10_001;

const newWork = (id: string, part: Partial<Work> = {}): Work => ({
  id,
  team: 'a',
  route: 'chat',
  serviceClass: 'online',
  weight: 1,
  maxTokens: undefined,
  deadlineMs: 60_000,
  ...part,
});

/** Lets the task handle everything that was posted. */
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });

describe('newUpstreamTask', () => {
  let clock: ManualClock;
  let task: UpstreamDispatcher;
  let seen: string[];
  const newOwner = (id: string, part: Partial<WorkOwner> = {}): WorkOwner => ({
    start: () => seen.push(`start ${id}`),
    preempt: () => seen.push(`preempt ${id}`),
    refuse: (reason) => seen.push(`refuse ${id} ${reason}`),
    ...part,
  });
  const submit = (id: string, part: Partial<Work> = {}, owner: Partial<WorkOwner> = {}): void =>
    task.submit(newWork(id, part), newOwner(id, owner));

  beforeEach(() => {
    clock = new ManualClock();
    seen = [];
    const scheduler = new PreemptiveScheduler({ slots: 1, reserve: 0, getMaxWaitMs: () => 5000 });
    task = newUpstreamDispatcher(scheduler, clock, newLogger('test', 'fatal'));
  });

  afterEach(() => task.close());

  it('goes on after an owner that throws, and gives its slot to the next', async () => {
    submit(
      'bad',
      {},
      {
        start: () => {
          throw new Error('broken owner');
        },
      },
    );
    submit('good');
    await settle();

    expect(seen).toEqual(['start good']);
  });

  it('goes on after an owner that throws when it is refused', async () => {
    submit('first');
    submit(
      'late',
      { deadlineMs: 0 },
      {
        refuse: () => {
          throw new Error('broken owner');
        },
      },
    );
    task.finish('first', 1);
    submit('next');
    await settle();

    expect(seen).toEqual(['start first', 'start next']);
  });

  it('refuses a second piece of work under one id, and keeps the first', async () => {
    submit('same');
    submit('same', {}, { start: () => seen.push('start second') });
    task.finish('same', 1);
    submit('next');
    await settle();

    expect(seen).toEqual(['start same', 'refuse same overloaded', 'start next']);
  });

  it('says truthfully whether work that is withdrawn has started', async () => {
    submit('running');
    submit('waiting');
    const answers = await Promise.all(
      ['waiting', 'running', 'ghost'].map((id) => task.withdraw(id)),
    );
    task.finish('running', 1);
    await settle();

    expect(answers).toEqual([true, false, false]);
    expect(seen).toEqual(['start running']);
  });

  it('refuses as not run what waited through a pause of the process', async () => {
    submit('running');
    submit('waiting', { deadlineMs: 1000 });
    await settle();
    clock.advance(30_000);
    task.finish('running', 1);
    await settle();

    expect(seen).toEqual(['start running', 'refuse waiting deadline']);
  });

  it('loses no end of work in a flood of arrivals', async () => {
    submit('first');
    await settle();
    for (let index = 0; index < FLOOD; index += 1) submit(`w${index}`);
    task.finish('first', 1);
    await settle();

    expect(seen.filter((line) => line === `refuse w${FLOOD - 1} overloaded`)).toHaveLength(1);
    expect(seen.filter((line) => line.startsWith('start'))).toEqual(['start first', 'start w0']);
  });

  it('carries preemption and restart through in order', async () => {
    const item = { serviceClass: 'batch' } as const;
    submit('item', item, {
      preempt: () => {
        seen.push('preempt item');
        task.finish('item', 0);
        submit('item-2', { ...item, wasPreempted: true });
      },
    });
    submit('later', item);
    submit('online');
    await settle();
    task.finish('online', 5);
    await settle();
    clock.advance(100);
    await settle();

    expect(seen).toEqual(['start item', 'preempt item', 'start online', 'start item-2']);
  });
});
