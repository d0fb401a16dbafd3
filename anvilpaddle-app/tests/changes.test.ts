/** Tests of configuration changes that operators send to different entry processes. */
import { newOperatorClient } from '../cli/operatorClient';
import { newFleet, OPERATOR_KEY, type Fleet } from './kit/fleet';
import { waitFor } from './kit/waitFor';

/** Documented time limit for a change to be in force on every process. */
const PROPAGATION_LIMIT_MS = 5000;

const newChangeRequest = (operation: string, id: string, basedOn = 0) => ({
  author: 'test',
  operation,
  changes: [{ kind: 'team', id, value: {}, basedOn }],
});

describe('configuration changes through separate entry processes', () => {
  let fleet: Fleet;

  beforeAll(async () => {
    fleet = await newFleet({ entries: 2, engines: 1, plainUpstreams: 0 });
  });

  beforeEach(() => fleet.platform.faults.clear());

  afterAll(() => fleet.close());

  const post = (entry: number, body: object) =>
    newOperatorClient(fleet.entries[entry]?.url ?? '', OPERATOR_KEY).post('/changes', body);

  it('accepts one of two racing changes and refuses the other with both revisions', async () => {
    const created = await post(0, newChangeRequest('op_race_create', 'racers'));
    const { revision } = (created.ok ? created.value : {}) as { revision: number };
    const responses = await Promise.all(
      [0, 1].map((entry) => post(entry, newChangeRequest(`op_race_${entry}`, 'racers', revision))),
    );

    expect(responses.filter(({ ok }) => ok)).toHaveLength(1);
    expect(responses.find(({ ok }) => !ok)).toMatchObject({
      error: {
        code: 'conflict',
        message: `team/racers is at revision ${revision + 1}; the change builds on ${revision}`,
      },
    });
  });

  it('applies a change on every process within the time limit', async () => {
    const created = await post(0, newChangeRequest('op_everywhere', 'everywhere'));
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

    expect(performance.now() - acceptedMs).toBeLessThan(PROPAGATION_LIMIT_MS);
  });

  it('reports a change as accepted after the response of the store was lost', async () => {
    fleet.platform.faults.add({ path: '/tables/transact', kind: 'drop_after', times: 1 });
    const first = await post(0, newChangeRequest('op_lost_once', 'lost-once'));
    const again = await post(1, newChangeRequest('op_lost_once', 'lost-once'));

    expect(first.ok).toBe(true);
    expect(again).toEqual(first);
  });

  it('reports an outcome that it cannot determine as unknown, to be read afterwards', async () => {
    fleet.platform.faults.add({
      path: '/tables/transact',
      kind: 'drop_after',
      times: 1,
    });
    const { tables } = fleet.platform;
    const transact = tables.transact.bind(tables);
    jest.spyOn(tables, 'transact').mockImplementationOnce((transaction) => {
      const outcome = transact(transaction);
      fleet.platform.faults.add({ path: '/tables/', kind: 'refuse' });
      return outcome;
    });
    const response = await post(0, newChangeRequest('op_unsettled', 'unsettled'));
    fleet.platform.faults.clear();
    const read = await newOperatorClient(fleet.entries[1]?.url ?? '', OPERATOR_KEY).get(
      '/operations/op_unsettled',
    );
    const again = await post(1, newChangeRequest('op_unsettled', 'unsettled'));

    expect(response).toMatchObject({
      error: {
        code: 'platform_unavailable',
        message: 'the outcome of operation op_unsettled is not known; ask again',
      },
    });
    expect(read.ok).toBe(true);
    expect(again).toEqual(read);
  });
});
