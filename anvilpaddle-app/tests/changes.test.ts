import { newOperatorClient } from '../cli/operatorClient';
import { newFleet, OPERATOR_KEY, type Fleet } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const PROMISE_MS = 5000;

const getChange = (operation: string, id: string, basedOn = 0) => ({
  author: 'test',
  operation,
  changes: [{ kind: 'team', id, value: {}, basedOn }],
});

describe('changes through separate entries', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await newFleet({ entries: 2, engines: 1, plainUpstreams: 0 });
  });

  beforeEach(() => fleet.platform.faults.clear());

  afterAll(() => fleet.close());

  const post = (entry: number, body: object) =>
    newOperatorClient(fleet.entries[entry]?.url ?? '', OPERATOR_KEY).post('/changes', body);

  it('of racing operators: one is accepted, the other refused with both revisions', async () => {
    const created = await post(0, getChange('op_race_create', 'racers'));
    const { revision } = (created.ok ? created.value : {}) as { revision: number };
    const answers = await Promise.all(
      [0, 1].map((entry) => post(entry, getChange(`op_race_${entry}`, 'racers', revision))),
    );

    expect(answers.filter(({ ok }) => ok)).toHaveLength(1);
    expect(answers.find(({ ok }) => !ok)).toMatchObject({
      error: {
        code: 'conflict',
        message: `team/racers is at revision ${revision + 1}; the change builds on ${revision}`,
      },
    });
  });

  it('is in force on every process within the promise', async () => {
    const created = await post(0, getChange('op_everywhere', 'everywhere'));
    const { revision } = (created.ok ? created.value : {}) as { revision: number };
    const acceptedMs = performance.now();
    await waitFor('the revision everywhere', async () => {
      const status = await fleet.operator.get('/status');
      const { members } = (status.ok ? status.value : { members: [] }) as {
        members: { vm: string; revision: number }[];
      };
      return ['entry-2', 'llm-1'].every((vm) =>
        members.some((member) => member.vm === vm && member.revision >= revision),
      );
    });

    expect(performance.now() - acceptedMs).toBeLessThan(PROMISE_MS);
  });

  it('is acknowledged truthfully when the answer of the store is lost', async () => {
    fleet.platform.faults.add({ path: '/tables/transact', kind: 'drop_after', times: 1 });
    const first = await post(0, getChange('op_lost_once', 'lost-once'));
    const again = await post(1, getChange('op_lost_once', 'lost-once'));

    expect(first.ok).toBe(true);
    expect(again).toEqual(first);
  });

  it('that cannot be settled is called unknown, and its outcome is read afterwards', async () => {
    fleet.platform.faults.add({
      path: '/tables/transact',
      kind: 'drop_after',
      times: 1,
    });
    const { tables } = fleet.platform;
    const transact = tables.transact.bind(tables);
    jest.spyOn(tables, 'transact').mockImplementationOnce((transaction) => {
      const commit = transact(transaction);
      fleet.platform.faults.add({ path: '/tables/', kind: 'refuse' });
      return commit;
    });
    const answer = await post(0, getChange('op_unsettled', 'unsettled'));
    fleet.platform.faults.clear();
    const read = await newOperatorClient(fleet.entries[1]?.url ?? '', OPERATOR_KEY).get(
      '/operations/op_unsettled',
    );
    const again = await post(1, getChange('op_unsettled', 'unsettled'));

    expect(answer).toMatchObject({
      error: {
        code: 'platform_unavailable',
        message: 'the outcome of operation op_unsettled is not known; ask again',
      },
    });
    expect(read.ok).toBe(true);
    expect(again).toEqual(read);
  });
});
