import { createServer, get, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { newByteBudget, newSilentLogger, SystemClock } from '@anvilpaddle/common';
import {
  newHealth,
  newInputQuarantine,
  newItemTracker,
  newLoadTracker,
  type BatchCandidate,
} from '@anvilpaddle/decisions';
import { waitFor } from '../../tests/kit/waitFor';
import type { JobCache } from '../jobs/jobCache';
import { newJobRunner, type JobRunnerDependencies } from '../jobs/jobRunner';
import { newJobStore } from '../jobs/jobStore';
import type { JobItem, JobRecord } from '../jobs/types';
import type { Upstream } from '../types';
import { newMemoryStore } from './kit/memoryStore';

const TEAM = 'team';
const JOB_ID = 'job';
const EVENTS = 60;
const SLOW_EVENT_MS = 60;
const ITEMS = ['i1', 'i2'].map((id): JobItem => ({
  id,
  path: '/p/',
  headers: [],
  body: Buffer.from('b'),
  tokens: 1,
}));
const RECORD: JobRecord = {
  id: JOB_ID,
  team: TEAM,
  route: 'route',
  host: 'host',
  configVersion: 1,
  submittedMs: 0,
  tokens: ITEMS.map(({ tokens }) => tokens),
  owner: 'self',
  listed: [],
  failures: {},
  isEnded: false,
};

/** Upstream whose second response is slow, once the first has shown the usual pace; each response goes on after the last event id. */
const startUpstream = async () => {
  const resumedAfter: number[] = [];
  const server = createServer((request, response) => {
    let id = Number(request.headers['resume-after'] ?? 0);
    resumedAfter.push(id);
    const timer = setInterval(
      () => {
        id += 1;
        response.write(`id: ${id}\ndata: e${id}\n\n`);
        if (id < EVENTS) return;
        clearInterval(timer);
        response.end();
      },
      resumedAfter.length === 2 ? SLOW_EVENT_MS : 1,
    );
    response.on('close', () => clearInterval(timer));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { port, resumedAfter, stop: () => server.close() };
};

const startRunner = async (port: number, spareTokens: number) => {
  const clock = new SystemClock();
  const memory = newMemoryStore();
  const store = newJobStore(memory.records, memory.objects);
  const upstreamLoads = newLoadTracker();
  const yields: string[] = [];
  const upstream = { id: 'u1', incarnation: 'u1-1', slots: 8 } as Upstream;
  const getCandidate = (): BatchCandidate => ({
    id: upstream.id,
    slots: upstream.slots,
    load: upstreamLoads.getLoad(upstream.id, clock.monotonic()),
    weight: 1,
    spareTokens,
    isCold: false,
  });
  const route = {
    name: 'route',
    targets: [{ service: 's', weight: 1 }],
    maxAttempts: 1,
    jobs: { dueMs: 18_000, expiryMs: 60_000 },
  };
  const cache: Partial<JobCache> = {
    get: () => undefined,
    getAll: () => [],
    put: () => undefined,
    getStoreMs: () => 0,
  };
  const dependencies = {
    self: 'self',
    store,
    jobs: cache,
    configWatch: { current: () => ({ version: 1, routes: [route] }), areKeysFresh: () => true },
    view: {
      getBatchCandidates: () => [getCandidate()],
      getBatchCandidate: getCandidate,
      getUpstream: () => upstream,
      isCold: () => false,
      isEvacuated: () => false,
    },
    protocol: {
      getItemPromptParts: () => [],
      getItemHeaders: () => [],
      getUpstreamHeaders: (_: unknown, { resumeAfterId }: { resumeAfterId?: string }) =>
        resumeAfterId === undefined ? {} : { 'resume-after': resumeAfterId },
      isMisdirected: () => false,
      getResponseFault: () => undefined,
    },
    upstreamClient: {
      send: (
        _: Upstream,
        { headers }: { headers: Record<string, string> },
        __: string,
        signal: AbortSignal,
      ) =>
        new Promise((resolve, reject) => {
          get({ port, host: '127.0.0.1', headers, signal }, (message: IncomingMessage) =>
            resolve({ kind: 'answered', message }),
          ).on('error', reject);
        }),
    },
    upstreamLoads,
    items: newItemTracker(),
    health: newHealth(),
    crashDetector: { reportLost: () => undefined, reportRefused: () => undefined },
    quarantine: newInputQuarantine(),
    byteBudget: newByteBudget(Infinity),
    metrics: {
      countResponseEnd: () => undefined,
      countItemYield: (reason: string) => yields.push(reason),
    },
    getEligibleOwners: () => ['self'],
    isAlive: () => true,
    isViewCurrent: () => true,
    getListRevision: () => Infinity,
    retentionMs: 1000,
    clock,
    random: Math.random,
    log: newSilentLogger(),
  };
  const runner = newJobRunner(dependencies as unknown as JobRunnerDependencies);
  const submission = await store.submit(RECORD, { items: ITEMS }, { maxWaitingTokens: 0 });
  if (submission.kind !== 'accepted') throw new Error(submission.kind);
  runner.onJobChange(submission.job);
  const getResults = async () => {
    const page = await store.readResults(RECORD, 0, 1000, { timeoutMs: 0 });
    return page.ok && page.value.results.length === ITEMS.length && page.value.results;
  };
  return { yields, getResults, stop: () => runner.stop() };
};

/** Output of an item that has each event once. */
const WHOLE_OUTPUT = Array.from({ length: EVENTS }, (_, index) => `e${index + 1}`).join('\n');

describe('a slow run of an item', () => {
  it('is ended once, and a new run goes on after its last event', async () => {
    const upstream = await startUpstream();
    const { yields, getResults, stop } = await startRunner(upstream.port, Infinity);
    const results = await waitFor('the results', getResults);
    await stop();
    upstream.stop();

    expect(results.map(({ output }) => output)).toEqual([WHOLE_OUTPUT, WHOLE_OUTPUT]);
    expect(yields).toEqual(['slow']);
    expect(upstream.resumedAfter).toHaveLength(3);
    expect(upstream.resumedAfter[2]).toBeGreaterThanOrEqual(10);
  });

  it('goes on where the upstream names a limit, of which a new run would take a part', async () => {
    const upstream = await startUpstream();
    const { yields, getResults, stop } = await startRunner(upstream.port, 5);
    const results = await waitFor('the results', getResults);
    await stop();
    upstream.stop();

    expect(results.map(({ output }) => output)).toEqual([WHOLE_OUTPUT, WHOLE_OUTPUT]);
    expect([yields, upstream.resumedAfter]).toEqual([[], [0, 0]]);
  });
});
