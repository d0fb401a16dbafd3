/** Planned stops of entries and sidecars under load. */
import type { EngineStandIn } from '@anvilpaddle/standins';
import { newBalancer, type Balancer, type Reply } from './kit/balancer';
import { newFleet, type Fleet, type FleetProcess } from './kit/fleet';
import { waitFor } from './kit/waitFor';

/** Required of the system: a draining upstream gets no new work after a few seconds. */
const MAX_NEW_WORK_MS = 3000;

const getChatBody = (maxTokens: number, stream: boolean): string =>
  JSON.stringify({
    model: 'small-chat',
    messages: [{ role: 'user', content: 'Why did I wake at three?' }],
    max_tokens: maxTokens,
    stream,
  });

const isComplete = (reply: Reply, stream: boolean): boolean =>
  reply.status === 200 && (!stream || reply.body.trimEnd().endsWith('data: [DONE]'));

/**
 * Sends short chats, long streamed chats and plain requests until it is stopped; `stop` resolves
 * with the failed requests.
 */
const startLoad = (
  balancer: Balancer,
  key: string,
  requestKinds: readonly string[] = ['chat', 'plain'],
) => {
  let isRunning = true;
  let responseCount = 0;
  const failures: string[] = [];
  const keepSending = async (path: string, body: string, stream: boolean): Promise<void> => {
    while (isRunning) {
      const reply = await balancer.send('POST', path, key, body);
      responseCount += 1;
      if (!isComplete(reply, stream)) {
        failures.push(`${path}: ${reply.status} ${reply.error ?? reply.body.slice(-300)}`);
      }
    }
  };
  const sendChats = (maxTokens: number, stream: boolean): Promise<void> =>
    keepSending('/v1/chat/completions', getChatBody(maxTokens, stream), stream);
  const senders = [
    ...(requestKinds.includes('chat')
      ? [1, 2, 3, 4].flatMap(() => [sendChats(8, false), sendChats(400, true)])
      : []),
    ...(requestKinds.includes('plain')
      ? [1, 2].map(() => keepSending('/intake/forms', 'x', false))
      : []),
  ];
  return {
    answered: () => responseCount,
    stop: async (): Promise<string[]> => {
      isRunning = false;
      await Promise.all(senders);
      return failures;
    },
  };
};

describe('planned stops', () => {
  let fleet: Fleet;
  let balancer: Balancer;
  let key: string;

  beforeAll(async () => {
    fleet = await newFleet({
      entries: 2,
      engines: 3,
      plainUpstreams: 2,
      engine: { slots: 16 },
    });
    balancer = newBalancer(fleet.entries);
    key = await fleet.createTeam('gyms');
  });

  afterAll(async () => {
    await balancer.close();
    await fleet.close();
  });

  const replace = async (fleetProcess: FleetProcess): Promise<number | null> => {
    const exitCode = await fleetProcess.process.stop();
    await fleetProcess.restart();
    if (fleetProcess.url !== '') await balancer.waitForReadiness(fleetProcess, true);
    return exitCode;
  };

  it('cut off no request while every VM is replaced in turn', async () => {
    const load = startLoad(balancer, key);
    const codes: (number | null)[] = [];
    for (const target of [...fleet.sidecars, ...fleet.entries]) codes.push(await replace(target));
    const failures = await load.stop();

    expect(failures).toEqual([]);
    expect(codes).toEqual([0, 0, 0, 0, 0, 0, 0]);
    expect(load.answered()).toBeGreaterThan(200);
  });
});

describe('a draining upstream', () => {
  it('gets no new work after 3 s although the VM list still has it as live and it could still serve', async () => {
    const fleet = await newFleet({
      entries: 2,
      engines: 2,
      plainUpstreams: 0,
      ini: { process: { stop_grace: '5s' } },
    });
    const balancer = newBalancer(fleet.entries);
    const key = await fleet.createTeam('gyms');
    const engine = fleet.engines[0] as EngineStandIn;
    const load = startLoad(balancer, key, ['chat']);
    await waitFor('a request at the upstream', () => engine.requests.length > 0);
    const stopRequestedMs = performance.now();
    const exitCode = await fleet.sidecars[0]?.process.stop();
    const failures = await load.stop();
    const lastReceivedMs = Math.max(...engine.requests.map(({ receivedMs }) => receivedMs));
    await balancer.close();
    await fleet.close();

    expect(failures).toEqual([]);
    expect(exitCode).toBe(0);
    expect(lastReceivedMs - stopRequestedMs).toBeLessThanOrEqual(MAX_NEW_WORK_MS);
  });
});
