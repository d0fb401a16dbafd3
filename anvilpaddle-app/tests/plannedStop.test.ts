import type { EngineStandIn } from '@anvilpaddle/standins';
import { newBalancer, type Balancer, type Reply } from './kit/balancer';
import { newFleet, type Fleet, type FleetProcess } from './kit/fleet';
import { waitFor } from './kit/waitFor';

/** From the brief: a leaving upstream gets no new work after a few seconds. */
const NO_NEW_WORK_MS = 3000;

const getChatBody = (maxTokens: number, stream: boolean): string =>
  JSON.stringify({
    model: 'small-chat',
    messages: [{ role: 'user', content: 'Why did I wake at three?' }],
    max_tokens: maxTokens,
    stream,
  });

const isWhole = (reply: Reply, stream: boolean): boolean =>
  reply.status === 200 && (!stream || reply.body.trimEnd().endsWith('data: [DONE]'));

/** Keeps requests of three kinds going until told to stop; resolves with what went wrong. */
const startLoad = (
  balancer: Balancer,
  key: string,
  kinds: readonly string[] = ['chat', 'plain'],
) => {
  let isRunning = true;
  let answered = 0;
  const failures: string[] = [];
  const keepSending = async (path: string, body: string, stream: boolean): Promise<void> => {
    while (isRunning) {
      const reply = await balancer.send('POST', path, key, body);
      answered += 1;
      if (!isWhole(reply, stream)) {
        failures.push(`${path}: ${reply.status} ${reply.error ?? reply.body.slice(-300)}`);
      }
    }
  };
  const chat = (maxTokens: number, stream: boolean): Promise<void> =>
    keepSending('/v1/chat/completions', getChatBody(maxTokens, stream), stream);
  const workers = [
    ...(kinds.includes('chat')
      ? [1, 2, 3, 4].flatMap(() => [chat(8, false), chat(400, true)])
      : []),
    ...(kinds.includes('plain') ? [1, 2].map(() => keepSending('/intake/forms', 'x', false)) : []),
  ];
  return {
    answered: () => answered,
    stop: async (): Promise<string[]> => {
      isRunning = false;
      await Promise.all(workers);
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

  const replace = async (node: FleetProcess): Promise<number | null> => {
    const code = await node.process.stop();
    await node.restart();
    if (node.url !== '') await balancer.waitForReadiness(node, true);
    return code;
  };

  it('cut off no request while every VM is replaced in turn', async () => {
    const load = startLoad(balancer, key);
    const codes: (number | null)[] = [];
    for (const node of [...fleet.sidecars, ...fleet.entries]) codes.push(await replace(node));
    const failures = await load.stop();

    expect(failures).toEqual([]);
    expect(codes).toEqual([0, 0, 0, 0, 0, 0, 0]);
    expect(load.answered()).toBeGreaterThan(200);
  });
});

describe('a leaving upstream', () => {
  it('gets no new work after 3 s although the list calls it live and it would still serve', async () => {
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
    await waitFor('work at the upstream', () => engine.records.length > 0);
    const toldMs = performance.now();
    const code = await fleet.sidecars[0]?.process.stop();
    const failures = await load.stop();
    const lastMs = Math.max(...engine.records.map(({ receivedMs }) => receivedMs));
    await balancer.close();
    await fleet.close();

    expect(failures).toEqual([]);
    expect(code).toBe(0);
    expect(lastMs - toldMs).toBeLessThanOrEqual(NO_NEW_WORK_MS);
  });
});
