/** Configuration controllers during outages of the store, network cuts and restarts. */
import { newTestVm, newConfigFleet, type ConfigFleet } from '../../tests/kit/configFleet';

const newTeamChange = (id: string, basedOn = 0, value: object | null = {}) =>
  ({ kind: 'team', id, value, basedOn }) as const;

const newFleet = () =>
  newConfigFleet(
    ['entry-1', 'entry-2', 'entry-3', 'llm-1'].map((vm, i) => newTestVm(vm, `fd-${i % 3}`)),
  );

const getNode = (fleet: ConfigFleet, vm: string) => {
  const node = fleet.nodes.find((candidate) => candidate.vm === vm);
  if (node === undefined) throw new Error(`no ${vm}`);
  return node;
};
const getController = (fleet: ConfigFleet, vm: string) => getNode(fleet, vm).controller;
const isolate = (fleet: ConfigFleet, vm: string, isCut = true): void =>
  fleet.nodes.forEach((node) => fleet.setCut(vm, node.vm, isCut));
const setOutage = (fleet: ConfigFleet, isDown: boolean): void =>
  fleet.nodes.forEach(({ storeFaults }) => Object.assign(storeFaults, { isDown }));
const refreshAll = async (fleet: ConfigFleet): Promise<void> => {
  for (const { controller, isRunning } of fleet.nodes) if (isRunning) await controller.refresh();
};
const advanceTime = async (fleet: ConfigFleet, seconds: number): Promise<void> => {
  for (let step = 0; step < seconds * 2; step += 1) {
    fleet.clock.advance(500);
    await refreshAll(fleet);
  }
};
const propose = (fleet: ConfigFleet, vm: string, id: string, operation?: string, basedOn = 0) =>
  getController(fleet, vm).propose({
    author: 'test',
    changes: [newTeamChange(id, basedOn)],
    operation,
  });

/** Creates a fleet in which every process has revision 1. */
const newStartedFleet = async (): Promise<ConfigFleet> => {
  const fleet = await newFleet();
  await refreshAll(fleet);
  await propose(fleet, 'entry-1', 'acme');
  await refreshAll(fleet);
  return fleet;
};

const MAX_AGE_MS = 3000;

describe('keys during outages and cuts', () => {
  const cases: readonly {
    readonly name: string;
    readonly injectFault: (fleet: ConfigFleet) => void;
    readonly serving: readonly string[];
  }[] = [
    {
      name: 'the store is down for all',
      injectFault: (fleet) => setOutage(fleet, true),
      serving: ['entry-1', 'entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'the store is down for all and one entry is lost',
      injectFault: (fleet) => {
        setOutage(fleet, true);
        getNode(fleet, 'entry-2').isRunning = false;
      },
      serving: ['entry-1', 'entry-3', 'llm-1'],
    },
    {
      name: 'one entry alone is cut off',
      injectFault: (fleet) => {
        isolate(fleet, 'entry-1');
        getNode(fleet, 'entry-1').storeFaults.isDown = true;
      },
      serving: ['entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'one entry loses only the store',
      injectFault: (fleet) => {
        getNode(fleet, 'entry-1').storeFaults.isDown = true;
      },
      serving: ['entry-1', 'entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'one entry loses only the other processes',
      injectFault: (fleet) => isolate(fleet, 'entry-1'),
      serving: ['entry-1', 'entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'the store is down for all and one entry is cut off',
      injectFault: (fleet) => {
        setOutage(fleet, true);
        isolate(fleet, 'entry-1');
      },
      serving: ['entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'the store is down for all and two of three entries are lost',
      injectFault: (fleet) => {
        setOutage(fleet, true);
        getNode(fleet, 'entry-1').isRunning = false;
        getNode(fleet, 'entry-2').isRunning = false;
      },
      serving: [],
    },
  ];

  it.each(cases.map((testCase) => [testCase.name, testCase] as const))(
    '%s',
    async (_, { injectFault, serving }) => {
      const fleet = await newStartedFleet();
      injectFault(fleet);
      await advanceTime(fleet, 60);

      const current = fleet.nodes
        .filter(({ controller, isRunning }) => isRunning && controller.ageMs() <= MAX_AGE_MS)
        .map(({ vm }) => vm);
      expect(current).toEqual(serving);
    },
  );
});

describe('a change during outages and cuts', () => {
  it('is not acknowledged while the other entries can confirm their configuration without it', async () => {
    const fleet = await newStartedFleet();
    ['entry-2', 'entry-3', 'llm-1'].forEach((vm) => {
      getNode(fleet, vm).storeFaults.isDown = true;
    });
    isolate(fleet, 'entry-1');
    const proposed = await propose(fleet, 'entry-1', 'late', 'op_unconfirmed');
    await advanceTime(fleet, 10);

    expect(proposed).toEqual({ ok: false, error: { kind: 'unconfirmed', revision: 2 } });
    expect(getController(fleet, 'entry-2').ageMs()).toBeLessThan(MAX_AGE_MS);
    expect(getController(fleet, 'entry-2').current().revision).toBe(1);

    isolate(fleet, 'entry-1', false);
    expect(await getController(fleet, 'entry-1').findOperation('op_unconfirmed')).toEqual({
      ok: true,
      value: 2,
    });
    await advanceTime(fleet, 1);
    expect(getController(fleet, 'entry-2').current().revision).toBe(2);
  });

  it('is not hidden by the vote of an entry that held it and was restarted', async () => {
    const fleet = await newStartedFleet();
    isolate(fleet, 'entry-3');
    getNode(fleet, 'entry-3').storeFaults.isDown = true;
    expect(await propose(fleet, 'entry-1', 'late')).toEqual({ ok: true, value: 2 });
    setOutage(fleet, true);
    getNode(fleet, 'entry-1').isRunning = false;
    fleet.restart(getNode(fleet, 'entry-2'));
    fleet.setCut('entry-2', 'entry-3', false);
    fleet.setCut('llm-1', 'entry-3', false);
    await advanceTime(fleet, 10);

    expect(getController(fleet, 'entry-3').current().revision).toBe(1);
    expect(getController(fleet, 'entry-3').ageMs()).toBeGreaterThan(MAX_AGE_MS);
    expect(getController(fleet, 'entry-2').ageMs()).toBeGreaterThan(MAX_AGE_MS);
  });

  it('takes effect once when the response of the store is lost', async () => {
    const fleet = await newStartedFleet();
    getNode(fleet, 'entry-2').storeFaults.responsesToLose = 1;
    const first = await propose(fleet, 'entry-2', 'lost', 'op_lost_answer');
    const second = await propose(fleet, 'entry-3', 'lost', 'op_lost_answer');
    const other = await propose(fleet, 'entry-3', 'other', 'op_lost_answer');

    expect(first).toEqual({ ok: true, value: 2 });
    expect(second).toEqual({ ok: true, value: 2 });
    expect(other).toEqual({ ok: false, error: { kind: 'operation_reused' } });
    expect(fleet.tables.get('config', 'head')?.value).toEqual({ revision: 2 });
  });

  it('is refused with both revisions when another came first', async () => {
    const fleet = await newStartedFleet();
    const [a, b] = await Promise.all([
      propose(fleet, 'entry-1', 'acme', undefined, 1),
      propose(fleet, 'entry-2', 'acme', undefined, 1),
    ]);
    const [won, lost] = a.ok ? [a, b] : [b, a];

    expect(won).toEqual({ ok: true, value: 2 });
    expect(lost).toEqual({
      ok: false,
      error: { kind: 'conflict', id: 'team/acme', basedOn: 1, actual: 2 },
    });
  });

  it('is committed although other entries commit changes at the same time', async () => {
    const fleet = await newStartedFleet();
    const proposed = await Promise.all(
      Array.from({ length: 9 }, (_, i) => propose(fleet, `entry-${(i % 3) + 1}`, `team-${i}`)),
    );
    await refreshAll(fleet);

    expect(proposed.every(({ ok }) => ok)).toBe(true);
    expect(getController(fleet, 'llm-1').current().teams.size).toBe(10);
  });

  it('that makes the configuration invalid is refused as a whole with every problem', async () => {
    const fleet = await newStartedFleet();
    const refused = await getController(fleet, 'entry-1').propose({
      author: 'test',
      changes: [
        newTeamChange('fine'),
        { kind: 'key', id: 'key-1', value: { team: 'nobody', hash: 'a'.repeat(64) }, basedOn: 0 },
        { kind: 'team', id: 'narrow', value: { routes: ['nowhere'] }, basedOn: 0 },
        { kind: 'settings', id: 'team/typo', value: { 'limits.rate': '5' }, basedOn: 0 },
      ],
    });

    expect(refused).toMatchSnapshot();
    expect(fleet.tables.get('config', 'head')?.value).toEqual({ revision: 1 });
  });
});

describe('a process that is behind', () => {
  it('reads the entries when the log no longer contains the changes that it lacks', async () => {
    const fleet = await newStartedFleet();
    isolate(fleet, 'llm-1');
    getNode(fleet, 'llm-1').storeFaults.isDown = true;
    for (let i = 0; i < 5; i += 1) await propose(fleet, 'entry-1', `team-${i}`);
    fleet.tables.transact({
      checks: [],
      writes: [2, 3].map((revision) => ({
        table: 'config_changes',
        key: String(revision).padStart(12, '0'),
        value: null,
      })),
    });
    getNode(fleet, 'llm-1').storeFaults.isDown = false;
    await advanceTime(fleet, 2);

    expect(getController(fleet, 'llm-1').current()).toEqual(
      getController(fleet, 'entry-1').current(),
    );
  });

  it('gets the configuration from another process during an outage', async () => {
    const fleet = await newStartedFleet();
    setOutage(fleet, true);
    await advanceTime(fleet, 5);
    fleet.restart(getNode(fleet, 'entry-2'));
    expect(getController(fleet, 'entry-2').ageMs()).toBe(Infinity);
    await advanceTime(fleet, 2);

    expect(getController(fleet, 'entry-2').current()).toEqual(
      getController(fleet, 'entry-1').current(),
    );
    expect(getController(fleet, 'entry-2').ageMs()).toBeLessThan(MAX_AGE_MS);
  });

  it('never reverts to an older configuration of the store', async () => {
    const fleet = await newStartedFleet();
    const before = getController(fleet, 'entry-1').current();
    const oldState = getController(fleet, 'entry-2').handlers['config.read']({ after: 0 });
    await propose(fleet, 'entry-1', 'next');
    // The store returns to an older state.
    fleet.tables.transact({
      checks: [],
      writes: [
        { table: 'config', key: 'head', value: { revision: 1 } },
        { table: 'config_changes', key: '000000000002', value: null },
      ],
    });
    await advanceTime(fleet, 10);
    const refused = await propose(fleet, 'entry-1', 'more');

    expect(before.revision).toBe(1);
    expect((await oldState).revision).toBe(1);
    expect(fleet.nodes.map(({ controller }) => controller.current().revision)).toEqual([
      2, 2, 2, 2,
    ]);
    expect(refused).toMatchObject({ ok: false, error: { error: { kind: 'unavailable' } } });
  });
});
