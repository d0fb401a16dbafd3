/** Tests of the dispatcher on a preemptive scheduler, with a manual clock. */
import { newLogger, ManualClock } from '@anvilpaddle/common';
import { PreemptiveScheduler, type Work } from '@anvilpaddle/decisions';
import {
  newUpstreamDispatcher,
  type UpstreamDispatcher,
  type WorkOwner,
} from '../sidecar/upstreamDispatcher';

/** One more than the dispatcher accepts into its mailbox. */
const FLOOD_SUBMISSIONS = 10_001;

const newWork = (id: string, overrides: Partial<Work> = {}): Work => ({
  id,
  team: 'a',
  route: 'chat',
  serviceClass: 'online',
  weight: 1,
  maxTokens: undefined,
  deadlineMs: 60_000,
  ...overrides,
});

/** Lets the dispatcher handle all messages posted so far. */
const handleMessages = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });

describe('newUpstreamDispatcher', () => {
  let clock: ManualClock;
  let dispatcher: UpstreamDispatcher;
  let events: string[];
  const newOwner = (id: string, overrides: Partial<WorkOwner> = {}): WorkOwner => ({
    start: () => events.push(`start ${id}`),
    preempt: () => events.push(`preempt ${id}`),
    refuse: (reason) => events.push(`refuse ${id} ${reason}`),
    ...overrides,
  });
  const submit = (
    id: string,
    overrides: Partial<Work> = {},
    owner: Partial<WorkOwner> = {},
  ): void => dispatcher.submit(newWork(id, overrides), newOwner(id, owner));

  beforeEach(() => {
    clock = new ManualClock();
    events = [];
    const scheduler = new PreemptiveScheduler({ slots: 1, reserve: 0, getMaxWaitMs: () => 5000 });
    dispatcher = newUpstreamDispatcher(scheduler, clock, newLogger('test', 'fatal'));
  });

  afterEach(() => dispatcher.close());

  it('continues after an owner throws at its start, and gives the slot to the next work', async () => {
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
    await handleMessages();

    expect(events).toEqual(['start good']);
  });

  it('continues after an owner throws at its refusal', async () => {
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
    dispatcher.finish('first', 1);
    submit('next');
    await handleMessages();

    expect(events).toEqual(['start first', 'start next']);
  });

  it('refuses work under an id in use, and keeps the first', async () => {
    submit('same');
    submit('same', {}, { start: () => events.push('start second') });
    dispatcher.finish('same', 1);
    submit('next');
    await handleMessages();

    expect(events).toEqual(['start same', 'refuse same overloaded', 'start next']);
  });

  it('withdraws queued work, but no started or unknown work', async () => {
    submit('running');
    submit('waiting');
    const withdrawn = await Promise.all(
      ['waiting', 'running', 'ghost'].map((id) => dispatcher.withdraw(id)),
    );
    dispatcher.finish('running', 1);
    await handleMessages();

    expect(withdrawn).toEqual([true, false, false]);
    expect(events).toEqual(['start running']);
  });

  it('refuses work whose deadline passed during a pause of the process', async () => {
    submit('running');
    submit('waiting', { deadlineMs: 1000 });
    await handleMessages();
    clock.advance(30_000);
    dispatcher.finish('running', 1);
    await handleMessages();

    expect(events).toEqual(['start running', 'refuse waiting deadline']);
  });

  it('loses no finish message in a flood of submissions', async () => {
    submit('first');
    await handleMessages();
    for (let index = 0; index < FLOOD_SUBMISSIONS; index += 1) submit(`w${index}`);
    dispatcher.finish('first', 1);
    await handleMessages();

    expect(
      events.filter((line) => line === `refuse w${FLOOD_SUBMISSIONS - 1} overloaded`),
    ).toHaveLength(1);
    expect(events.filter((line) => line.startsWith('start'))).toEqual(['start first', 'start w0']);
  });

  it('starts preempted work again ahead of queued work of its class', async () => {
    const item = { serviceClass: 'batch' } as const;
    submit('item', item, {
      preempt: () => {
        events.push('preempt item');
        dispatcher.finish('item', 0);
        submit('item-2', { ...item, wasPreempted: true });
      },
    });
    submit('later', item);
    submit('online');
    await handleMessages();
    dispatcher.finish('online', 5);
    await handleMessages();
    clock.advance(100);
    await handleMessages();

    expect(events).toEqual(['start item', 'preempt item', 'start online', 'start item-2']);
  });
});
