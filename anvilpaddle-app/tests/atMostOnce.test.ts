import { newFleet, type Fleet, type FleetProcess } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const SLOTS = 16;
const HELD_MS = 1500;
const FILL_MS = 3000;
const SHORT_TIMEOUT = '600ms';

/** What a caller was told: the state of a refusal, `answered`, or `cut` when its entry died. */
interface Told {
  readonly run: string;
  readonly code: string | undefined;
}

describe('a call that must not be repeated, through processes that die', () => {
  let fleet: Fleet;
  let key: string;
  let hastyKey: string;
  let filled = 0;

  const getNode = (nodes: readonly FleetProcess[], index: number): FleetProcess => {
    const node = nodes[index];
    if (node === undefined) throw new Error('no such process');
    return node;
  };

  const countRuns = (path: string): number =>
    fleet.plainUpstreams.flatMap(({ calls }) => calls).filter((call) => call.path.startsWith(path))
      .length;

  const hold = (path: string, kind: 'delay' | 'delay_after', delayMs = HELD_MS): void =>
    fleet.plainUpstreams[0]?.faults.add({ path, kind, delayMs });

  const post = async (path: string, entry = 0, secret = key): Promise<Told> => {
    try {
      const answer = await fetch(`${getNode(fleet.entries, entry).url}${path}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${secret}` },
        body: 'a form',
      });
      const { error } = (await answer.json()) as { error?: { run: string; code: string } };
      return { run: error?.run ?? 'answered', code: error?.code };
    } catch {
      return { run: 'cut', code: undefined };
    }
  };

  const waitForService = async (): Promise<void> => {
    await waitFor('both entries serve', async () => {
      const told = await Promise.all([0, 1].map((entry) => post('/intake/probe/', entry)));
      return told.every(({ run }) => run === 'answered');
    });
  };

  const waitForQueued = async (): Promise<void> => {
    await waitFor('it waits in the queue', async () => {
      const status = await fleet.operator.get('/status');
      if (!status.ok) return false;
      const { members } = status.value as { members: { load?: { waiting: number } }[] };
      return members.some(({ load }) => (load?.waiting ?? 0) > 0);
    });
  };

  /** Occupies every slot by the other entry, so that what comes next waits in the queue. */
  const fillSlots = async (): Promise<{ readonly done: Promise<Told[]> }> => {
    filled += 1;
    const path = `/intake/fill-${filled}/`;
    hold(path, 'delay_after', FILL_MS);
    const done = Promise.all(Array.from({ length: SLOTS }, () => post(path, 1)));
    await waitFor('all slots taken', () => countRuns(path) === SLOTS);
    return { done };
  };

  beforeAll(async () => {
    fleet = await newFleet({ entries: 2, engines: 0, plainUpstreams: 1 });
    key = await fleet.createTeam('association');
    hastyKey = await fleet.createTeam('hasty', { 'request.timeout': SHORT_TIMEOUT });
  });

  beforeEach(() => waitForService());

  afterAll(() => fleet.close());

  it('does not run when its entry is killed while it waits', async () => {
    const filling = await fillSlots();
    const told = post('/intake/entry-waits/');
    await waitForQueued();
    await getNode(fleet.entries, 0).process.kill();
    await filling.done;
    await getNode(fleet.entries, 0).restart();
    await waitForService();

    expect(await told).toMatchObject({ run: 'cut' });
    expect(countRuns('/intake/entry-waits/')).toBe(0);
  });

  it('runs once when its entry is killed while it runs', async () => {
    hold('/intake/entry-runs/', 'delay_after');
    const told = post('/intake/entry-runs/');
    await waitFor('it runs', () => countRuns('/intake/entry-runs/') === 1);
    await getNode(fleet.entries, 0).process.kill();
    await getNode(fleet.entries, 0).restart();
    await waitForService();

    expect(await told).toMatchObject({ run: 'cut' });
    expect(countRuns('/intake/entry-runs/')).toBe(1);
  });

  it.each([
    ['before sending', 'waits', 0],
    ['at sending', 'sending', 1],
    ['after sending', 'runs', 1],
  ] as const)('is told as unknown when its sidecar is killed %s', async (_when, state, most) => {
    const path = `/intake/sidecar-${state}/`;
    const filling = state === 'waits' ? await fillSlots() : undefined;
    hold(path, state === 'sending' ? 'delay' : 'delay_after');
    const told = post(path);
    if (state === 'waits') await waitForQueued();
    if (state === 'runs') await waitFor('it runs', () => countRuns(path) === 1);
    if (state === 'sending') {
      await waitFor('it is read', () => fleet.plainUpstreams[0]?.faults.hasStruck(path));
    }
    await getNode(fleet.sidecars, 0).process.kill();
    await filling?.done;
    await getNode(fleet.sidecars, 0).restart();
    await waitForService();

    expect(await told).toMatchObject({ run: 'unknown' });
    expect(countRuns(path)).toBeLessThanOrEqual(most);
  });

  it('is not run, and told so, when its time is over while it waits', async () => {
    const filling = await fillSlots();
    const told = await post('/intake/late-waits/', 0, hastyKey);
    await filling.done;
    await waitForService();

    expect(told).toEqual({ run: 'not_run', code: 'deadline_exceeded' });
    expect(countRuns('/intake/late-waits/')).toBe(0);
  });

  it('is told as unknown when its time is over while it runs', async () => {
    hold('/intake/late-runs/', 'delay_after');
    const told = await post('/intake/late-runs/', 0, hastyKey);

    expect(told).toEqual({ run: 'unknown', code: 'deadline_exceeded' });
    expect(countRuns('/intake/late-runs/')).toBe(1);
  });

  it('is told truthfully in time when its sidecar is frozen, and runs at most once', async () => {
    const sidecar = getNode(fleet.sidecars, 0);
    sidecar.process.pause();
    const told = await post('/intake/frozen/', 0, hastyKey);
    const runsWhileFrozen = countRuns('/intake/frozen/');
    sidecar.process.resume();
    await waitForService();

    // The entry may notice the silence before it picks; then nothing is sent, and nothing runs.
    const isPicked = told.code !== 'no_upstream';
    expect(told).toEqual({
      run: isPicked ? 'unknown' : 'not_run',
      code: isPicked ? 'deadline_exceeded' : 'no_upstream',
    });
    expect(runsWhileFrozen).toBe(0);
    expect(countRuns('/intake/frozen/')).toBeLessThanOrEqual(isPicked ? 1 : 0);
  });

  it('tells the truth while its sidecar is replaced', async () => {
    const sidecar = getNode(fleet.sidecars, 0);
    const tell = async (index: number): Promise<{ told: Told; runs: number }> => {
      const path = `/intake/replaced-${index}/`;
      const told = await post(path, index % 2);
      return { told, runs: countRuns(path) };
    };
    const calls = Array.from({ length: 20 }, (_, index) => tell(index));
    await sidecar.process.kill();
    calls.push(...Array.from({ length: 20 }, (_, index) => tell(20 + index)));
    await sidecar.restart();
    calls.push(...Array.from({ length: 20 }, (_, index) => tell(40 + index)));
    const lies = (await Promise.all(calls)).filter(
      ({ told, runs }) =>
        runs > 1 ||
        (told.run === 'not_run' && runs > 0) ||
        (['ran', 'answered'].includes(told.run) && runs === 0),
    );

    expect(lies).toEqual([]);
  });
});
