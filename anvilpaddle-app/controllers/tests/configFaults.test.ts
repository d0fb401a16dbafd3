import { newTestVm, newConfigFleet, type ConfigFleet } from '../../tests/kit/configFleet';

const TEAM = (id: string, basedOn = 0, value: object | null = {}) =>
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
const get = (fleet: ConfigFleet, vm: string) => getNode(fleet, vm).controller;
const isolate = (fleet: ConfigFleet, vm: string, isCut = true): void =>
  fleet.nodes.forEach((node) => fleet.setCut(vm, node.vm, isCut));
const setOutage = (fleet: ConfigFleet, isDown: boolean): void =>
  fleet.nodes.forEach(({ storeFaults }) => Object.assign(storeFaults, { isDown }));
const refreshAll = async (fleet: ConfigFleet): Promise<void> => {
  for (const { controller, isRunning } of fleet.nodes) if (isRunning) await controller.refresh();
};
const passTime = async (fleet: ConfigFleet, seconds: number): Promise<void> => {
  for (let step = 0; step < seconds * 2; step += 1) {
    fleet.clock.advance(500);
    await refreshAll(fleet);
  }
};
const propose = (fleet: ConfigFleet, vm: string, id: string, operation?: string, basedOn = 0) =>
  get(fleet, vm).propose({ author: 'test', changes: [TEAM(id, basedOn)], operation });

/** Fleet in which every process has revision 1. */
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
    readonly strike: (fleet: ConfigFleet) => void;
    readonly serving: readonly string[];
  }[] = [
    {
      name: 'the store is down for all',
      strike: (fleet) => setOutage(fleet, true),
      serving: ['entry-1', 'entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'the store is down for all and one entry is lost',
      strike: (fleet) => {
        setOutage(fleet, true);
        getNode(fleet, 'entry-2').isRunning = false;
      },
      serving: ['entry-1', 'entry-3', 'llm-1'],
    },
    {
      name: 'one entry alone is cut off',
      strike: (fleet) => {
        isolate(fleet, 'entry-1');
        getNode(fleet, 'entry-1').storeFaults.isDown = true;
      },
      serving: ['entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'one entry loses only the store',
      strike: (fleet) => {
        getNode(fleet, 'entry-1').storeFaults.isDown = true;
      },
      serving: ['entry-1', 'entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'one entry loses only the other processes',
      strike: (fleet) => isolate(fleet, 'entry-1'),
      serving: ['entry-1', 'entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'the store is down for all and one entry is cut off',
      strike: (fleet) => {
        setOutage(fleet, true);
        isolate(fleet, 'entry-1');
      },
      serving: ['entry-2', 'entry-3', 'llm-1'],
    },
    {
      name: 'the store is down for all and two of three entries are lost',
      strike: (fleet) => {
        setOutage(fleet, true);
        getNode(fleet, 'entry-1').isRunning = false;
        getNode(fleet, 'entry-2').isRunning = false;
      },
      serving: [],
    },
  ];

  it.each(cases.map((fault) => [fault.name, fault] as const))(
    '%s',
    async (_, { strike, serving }) => {
      const fleet = await newStartedFleet();
      strike(fleet);
      await passTime(fleet, 60);

      const current = fleet.nodes
        .filter(({ controller, isRunning }) => isRunning && controller.ageMs() <= MAX_AGE_MS)
        .map(({ vm }) => vm);
      expect(current).toEqual(serving);
    },
  );
});

describe('a change during outages and cuts', () => {
  it('is not acknowledged while the other entries can vouch without it', async () => {
    const fleet = await newStartedFleet();
    ['entry-2', 'entry-3', 'llm-1'].forEach((vm) => {
      getNode(fleet, vm).storeFaults.isDown = true;
    });
    isolate(fleet, 'entry-1');
    const proposed = await propose(fleet, 'entry-1', 'late', 'op_unconfirmed');
    await passTime(fleet, 10);

    expect(proposed).toEqual({ ok: false, error: { kind: 'unconfirmed', revision: 2 } });
    expect(get(fleet, 'entry-2').ageMs()).toBeLessThan(MAX_AGE_MS);
    expect(get(fleet, 'entry-2').current().revision).toBe(1);

    isolate(fleet, 'entry-1', false);
    expect(await get(fleet, 'entry-1').findOperation('op_unconfirmed')).toEqual({
      ok: true,
      value: 2,
    });
    await passTime(fleet, 1);
    expect(get(fleet, 'entry-2').current().revision).toBe(2);
  });

  it('is not vouched away by an entry that held it and was restarted', async () => {
    const fleet = await newStartedFleet();
    isolate(fleet, 'entry-3');
    getNode(fleet, 'entry-3').storeFaults.isDown = true;
    expect(await propose(fleet, 'entry-1', 'late')).toEqual({ ok: true, value: 2 });
    setOutage(fleet, true);
    getNode(fleet, 'entry-1').isRunning = false;
    fleet.restart(getNode(fleet, 'entry-2'));
    fleet.setCut('entry-2', 'entry-3', false);
    fleet.setCut('llm-1', 'entry-3', false);
    await passTime(fleet, 10);

    expect(get(fleet, 'entry-3').current().revision).toBe(1);
    expect(get(fleet, 'entry-3').ageMs()).toBeGreaterThan(MAX_AGE_MS);
    expect(get(fleet, 'entry-2').ageMs()).toBeGreaterThan(MAX_AGE_MS);
  });

  it('is acknowledged once when its answer is lost', async () => {
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

  it('of other entries does not lose a race for the revision', async () => {
    const fleet = await newStartedFleet();
    const proposed = await Promise.all(
      Array.from({ length: 9 }, (_, i) => propose(fleet, `entry-${(i % 3) + 1}`, `team-${i}`)),
    );
    await refreshAll(fleet);

    expect(proposed.every(({ ok }) => ok)).toBe(true);
    expect(get(fleet, 'llm-1').current().teams.size).toBe(10);
  });

  it('that leaves a bad tree is refused whole with every fault', async () => {
    const fleet = await newStartedFleet();
    const refused = await get(fleet, 'entry-1').propose({
      author: 'test',
      changes: [
        TEAM('fine'),
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
  it('takes the entries when the log no longer reaches back to it', async () => {
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
    await passTime(fleet, 2);

    expect(get(fleet, 'llm-1').current()).toEqual(get(fleet, 'entry-1').current());
  });

  it('starts from another process during an outage', async () => {
    const fleet = await newStartedFleet();
    setOutage(fleet, true);
    await passTime(fleet, 5);
    fleet.restart(getNode(fleet, 'entry-2'));
    expect(get(fleet, 'entry-2').ageMs()).toBe(Infinity);
    await passTime(fleet, 2);

    expect(get(fleet, 'entry-2').current()).toEqual(get(fleet, 'entry-1').current());
    expect(get(fleet, 'entry-2').ageMs()).toBeLessThan(MAX_AGE_MS);
  });

  it('never takes the fleet back', async () => {
    const fleet = await newStartedFleet();
    const before = get(fleet, 'entry-1').current();
    const old = get(fleet, 'entry-2').handlers['config.read']({ after: 0 });
    await propose(fleet, 'entry-1', 'next');
    // The store answers from an older state.
    fleet.tables.transact({
      checks: [],
      writes: [
        { table: 'config', key: 'head', value: { revision: 1 } },
        { table: 'config_changes', key: '000000000002', value: null },
      ],
    });
    await passTime(fleet, 10);
    const refused = await propose(fleet, 'entry-1', 'more');

    expect(before.revision).toBe(1);
    expect((await old).revision).toBe(1);
    expect(fleet.nodes.map(({ controller }) => controller.current().revision)).toEqual([
      2, 2, 2, 2,
    ]);
    expect(refused).toMatchObject({ ok: false, error: { error: { kind: 'unavailable' } } });
  });
});
