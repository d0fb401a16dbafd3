/** Distributed rate limits over separate entry processes while faults are injected. */
import { newFleet, type Fleet, type Node } from './kit/fleet';
import { waitFor } from './kit/waitFor';

const RATE = 20;
const BURST = 10;
const SENDERS_PER_ENTRY = 3;

interface Admitted {
  readonly sentMs: number;
  readonly answeredMs: number;
}

/** Sends requests to all entries until it is stopped, at far more than the team's rate. */
const newCallers = (entries: readonly Node[], key: string) => {
  const admitted: Admitted[] = [];
  const refusals: { retryAfterMs: number; tookMs: number }[] = [];
  let isStopped = false;
  let calls = 0;

  const sendRequest = async (entry: Node): Promise<void> => {
    const sentMs = performance.now();
    calls += 1;
    try {
      const response = await fetch(`${entry.url}/intake/forms`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key}` },
        body: `form ${calls}`,
        signal: AbortSignal.timeout(20_000),
      });
      const body = (await response.json()) as { error?: { retry_after_ms?: number } };
      const answeredMs = performance.now();
      if (response.status === 200) admitted.push({ sentMs, answeredMs });
      if (response.status === 429) {
        const retryAfterMs = body.error?.retry_after_ms ?? 0;
        refusals.push({ retryAfterMs, tookMs: answeredMs - sentMs });
      }
    } catch {
      // The entry has stopped and may have admitted the request: the calls that the upstream
      // stand-in has recorded show it.
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  };

  const runs = entries.flatMap((entry) =>
    Array.from({ length: SENDERS_PER_ENTRY }, async () => {
      while (!isStopped) await sendRequest(entry);
    }),
  );
  return {
    admitted,
    refusals,
    stop: async () => {
      isStopped = true;
      await Promise.all(runs);
    },
  };
};

/**
 * Returns the maximum excess over the limit in any time window. A window counts the requests that
 * were both sent and answered within it, since these were certainly admitted within it.
 */
const getMaxExcess = (admitted: readonly Admitted[]): number => {
  const byResponseTime = [...admitted].sort((a, b) => a.answeredMs - b.answeredMs);
  return Math.max(
    0,
    ...byResponseTime.map(({ sentMs: startMs }) => {
      let count = 0;
      let maxExcess = 0;
      byResponseTime.forEach(({ sentMs, answeredMs }) => {
        if (sentMs < startMs) return;
        count += 1;
        maxExcess = Math.max(maxExcess, count - BURST - (RATE * (answeredMs - startMs)) / 1000);
      });
      return maxExcess;
    }),
  );
};

const getView = async (fleet: Fleet): Promise<{ members: string[]; joining: string[] }> =>
  (fleet.platform.tables.get('limits', 'view')?.value ?? { members: [], joining: [] }) as {
    members: string[];
    joining: string[];
  };

describe('limits over separate processes', () => {
  let fleet: Fleet;
  let key: string;

  const waitForMembers = (count: number): Promise<unknown> =>
    waitFor(`${count} members`, async () => {
      const view = await getView(fleet);
      return view.members.length === count && view.joining.length === 0;
    });

  const wait = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });

  beforeAll(async () => {
    fleet = await newFleet({ entries: 3, engines: 0, plains: 1 });
    key = await fleet.newTeam('utility-a', {
      'limits.rate': String(RATE),
      'limits.burst': String(BURST),
    });
    await waitForMembers(3);
  });

  afterAll(() => fleet.close());

  const expectBound = async (injectFault: () => Promise<void>): Promise<void> => {
    const [plain] = fleet.plains;
    const runCountBefore = plain?.calls.length ?? 0;
    const startMs = performance.now();
    const callers = newCallers(fleet.entries, key);
    await wait(500);
    await injectFault();
    await wait(1500);
    await callers.stop();
    const tookMs = performance.now() - startMs;
    const runCount = (plain?.calls.length ?? 0) - runCountBefore;

    expect(getMaxExcess(callers.admitted)).toBe(0);
    expect(runCount).toBeLessThanOrEqual(BURST + (RATE * tookMs) / 1000);
    expect(callers.admitted.length).toBeGreaterThan(0);
    expect(callers.refusals.length).toBeGreaterThan(0);
    expect(callers.refusals.every(({ retryAfterMs }) => retryAfterMs > 0)).toBe(true);
  };

  it('holds the bound while an entry is killed and started again, twice', () =>
    expectBound(async () => {
      for (let round = 0; round < 2; round += 1) {
        await fleet.entries[0]?.child.kill();
        await fleet.entries[0]?.restart();
        await wait(300);
      }
    }));

  it('holds the bound while an entry is paused and resumed', () =>
    expectBound(async () => {
      fleet.entries[1]?.child.pause();
      await wait(1500);
      fleet.entries[1]?.child.resume();
    }));

  it('holds the bound while the store is down and an entry is lost', () =>
    expectBound(async () => {
      fleet.platform.faults.add({ path: '/', kind: 'refuse' });
      await fleet.entries[2]?.child.kill();
      await wait(1000);
      fleet.platform.faults.clear();
      await fleet.entries[2]?.restart();
    }));

  it('holds the bound while every entry is restarted at once', () =>
    expectBound(async () => {
      await Promise.all(
        fleet.entries.map(async (entry) => {
          await entry.child.kill();
          await entry.restart();
        }),
      );
    }));

  it('holds the bound while an entry stops as planned, leaves and restarts', () =>
    expectBound(async () => {
      const code = await fleet.entries[1]?.child.stop();
      expect(code).toBe(0);
      await waitForMembers(2);
      await fleet.entries[1]?.restart();
      await waitForMembers(3);
    }));

  it('gives the share of a lost VM to the others once the VM list no longer contains it', async () => {
    await fleet.entries[2]?.child.kill();
    fleet.platform.setVms(fleet.vms.filter(({ vm }) => vm !== fleet.entries[2]?.vm));

    await waitForMembers(2);
  });
});
