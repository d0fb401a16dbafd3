/** Non-idempotent requests whose entry or sidecar is killed, paused or replaced. */
import { newFleet, type Fleet, type FleetProcess } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const SLOTS = 16;
const RESPONSE_DELAY_MS = 1500;
const SLOT_FILLING_DELAY_MS = 3000;
const SHORT_REQUEST_TIMEOUT = '600ms';

/**
 * Outcome that a caller sees. `run` is the state in an error response, `answered` for any other
 * response, or `cut` if the connection to the entry was lost.
 */
interface CallerOutcome {
  readonly run: string;
  readonly code: string | undefined;
}

describe('a non-idempotent request whose entry or sidecar fails', () => {
  let fleet: Fleet;
  let key: string;
  let shortTimeoutKey: string;
  let fillCount = 0;

  const getProcess = (processes: readonly FleetProcess[], index: number): FleetProcess => {
    const fleetProcess = processes[index];
    if (fleetProcess === undefined) throw new Error('the fleet has no process with this index');
    return fleetProcess;
  };

  const countRuns = (path: string): number =>
    fleet.plainUpstreams.flatMap(({ calls }) => calls).filter((call) => call.path.startsWith(path))
      .length;

  const delayPath = (
    path: string,
    kind: 'delay' | 'delay_after',
    delayMs = RESPONSE_DELAY_MS,
  ): void => fleet.plainUpstreams[0]?.faults.add({ path, kind, delayMs });

  const post = async (path: string, entry = 0, secret = key): Promise<CallerOutcome> => {
    try {
      const response = await fetch(`${getProcess(fleet.entries, entry).url}${path}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${secret}` },
        body: 'a form',
      });
      const { error } = (await response.json()) as { error?: { run: string; code: string } };
      return { run: error?.run ?? 'answered', code: error?.code };
    } catch {
      return { run: 'cut', code: undefined };
    }
  };

  const waitUntilServing = async (): Promise<void> => {
    await waitFor('responses through both entries', async () => {
      const outcomes = await Promise.all([0, 1].map((entry) => post('/intake/probe/', entry)));
      return outcomes.every(({ run }) => run === 'answered');
    });
  };

  const waitUntilQueued = async (): Promise<void> => {
    await waitFor('a request in the queue', async () => {
      const status = await fleet.operator.get('/status');
      if (!status.ok) return false;
      const { members } = status.value as { members: { load?: { waiting: number } }[] };
      return members.some(({ load }) => (load?.waiting ?? 0) > 0);
    });
  };

  /** Fills every slot through the other entry, so that the next request waits in the queue. */
  const fillSlots = async (): Promise<{ readonly done: Promise<CallerOutcome[]> }> => {
    fillCount += 1;
    const path = `/intake/fill-${fillCount}/`;
    delayPath(path, 'delay_after', SLOT_FILLING_DELAY_MS);
    const done = Promise.all(Array.from({ length: SLOTS }, () => post(path, 1)));
    await waitFor('requests in all slots', () => countRuns(path) === SLOTS);
    return { done };
  };

  beforeAll(async () => {
    fleet = await newFleet({ entries: 2, engines: 0, plainUpstreams: 1 });
    key = await fleet.createTeam('association');
    shortTimeoutKey = await fleet.createTeam('hasty', { 'request.timeout': SHORT_REQUEST_TIMEOUT });
  });

  beforeEach(() => waitUntilServing());

  afterAll(() => fleet.close());

  it('does not run when its entry is killed while it is queued', async () => {
    const slotFilling = await fillSlots();
    const outcome = post('/intake/entry-waits/');
    await waitUntilQueued();
    await getProcess(fleet.entries, 0).process.kill();
    await slotFilling.done;
    await getProcess(fleet.entries, 0).restart();
    await waitUntilServing();

    expect(await outcome).toMatchObject({ run: 'cut' });
    expect(countRuns('/intake/entry-waits/')).toBe(0);
  });

  it('runs once when its entry is killed while it runs', async () => {
    delayPath('/intake/entry-runs/', 'delay_after');
    const outcome = post('/intake/entry-runs/');
    await waitFor('the request to run', () => countRuns('/intake/entry-runs/') === 1);
    await getProcess(fleet.entries, 0).process.kill();
    await getProcess(fleet.entries, 0).restart();
    await waitUntilServing();

    expect(await outcome).toMatchObject({ run: 'cut' });
    expect(countRuns('/intake/entry-runs/')).toBe(1);
  });

  it.each([
    ['before sending', 'waits', 0],
    ['at sending', 'sending', 1],
    ['after sending', 'runs', 1],
  ] as const)(
    'is reported as unknown when its sidecar is killed %s',
    async (_when, stage, maxRuns) => {
      const path = `/intake/sidecar-${stage}/`;
      const slotFilling = stage === 'waits' ? await fillSlots() : undefined;
      delayPath(path, stage === 'sending' ? 'delay' : 'delay_after');
      const outcome = post(path);
      if (stage === 'waits') await waitUntilQueued();
      if (stage === 'runs') await waitFor('the request to run', () => countRuns(path) === 1);
      if (stage === 'sending') {
        await waitFor('the request to reach the upstream', () =>
          fleet.plainUpstreams[0]?.faults.hasApplied(path),
        );
      }
      await getProcess(fleet.sidecars, 0).process.kill();
      await slotFilling?.done;
      await getProcess(fleet.sidecars, 0).restart();
      await waitUntilServing();

      expect(await outcome).toMatchObject({ run: 'unknown' });
      expect(countRuns(path)).toBeLessThanOrEqual(maxRuns);
    },
  );

  it('does not run, and is reported as not run, when its deadline passes in the queue', async () => {
    const slotFilling = await fillSlots();
    const outcome = await post('/intake/late-waits/', 0, shortTimeoutKey);
    await slotFilling.done;
    await waitUntilServing();

    expect(outcome).toEqual({ run: 'not_run', code: 'deadline_exceeded' });
    expect(countRuns('/intake/late-waits/')).toBe(0);
  });

  it('is reported as unknown when its deadline passes while it runs', async () => {
    delayPath('/intake/late-runs/', 'delay_after');
    const outcome = await post('/intake/late-runs/', 0, shortTimeoutKey);

    expect(outcome).toEqual({ run: 'unknown', code: 'deadline_exceeded' });
    expect(countRuns('/intake/late-runs/')).toBe(1);
  });

  it('is reported correctly by its deadline when its sidecar is paused, and runs at most once', async () => {
    const sidecar = getProcess(fleet.sidecars, 0);
    sidecar.process.pause();
    const outcome = await post('/intake/frozen/', 0, shortTimeoutKey);
    const runsWhilePaused = countRuns('/intake/frozen/');
    sidecar.process.resume();
    await waitUntilServing();

    // The entry may see the sidecar as unreachable before it routes the request; then it sends
    // nothing, and nothing runs.
    const isRouted = outcome.code !== 'no_upstream';
    expect(outcome).toEqual({
      run: isRouted ? 'unknown' : 'not_run',
      code: isRouted ? 'deadline_exceeded' : 'no_upstream',
    });
    expect(runsWhilePaused).toBe(0);
    expect(countRuns('/intake/frozen/')).toBeLessThanOrEqual(isRouted ? 1 : 0);
  });

  it('is reported correctly while its sidecar is replaced', async () => {
    const sidecar = getProcess(fleet.sidecars, 0);
    const sendAndCountRuns = async (
      index: number,
    ): Promise<{ outcome: CallerOutcome; runs: number }> => {
      const path = `/intake/replaced-${index}/`;
      const outcome = await post(path, index % 2);
      return { outcome, runs: countRuns(path) };
    };
    const sent = Array.from({ length: 20 }, (_, index) => sendAndCountRuns(index));
    await sidecar.process.kill();
    sent.push(...Array.from({ length: 20 }, (_, index) => sendAndCountRuns(20 + index)));
    await sidecar.restart();
    sent.push(...Array.from({ length: 20 }, (_, index) => sendAndCountRuns(40 + index)));
    const incorrectOutcomes = (await Promise.all(sent)).filter(
      ({ outcome, runs }) =>
        runs > 1 ||
        (outcome.run === 'not_run' && runs > 0) ||
        (['ran', 'answered'].includes(outcome.run) && runs === 0),
    );

    expect(incorrectOutcomes).toEqual([]);
  });
});
