import { newByteBudget, newSilentLogger, SystemClock } from '@anvilpaddle/common';
import {
  newHealth,
  newItemTracker,
  newLoadTracker,
  newInputQuarantine,
} from '@anvilpaddle/decisions';
import { sleep } from '../../process/program';
import { waitFor } from '../../tests/kit/waitFor';
import type { CallerProtocol } from '../callerProtocol';
import type { ConfigWatch } from '../configWatch';
import type { FleetView } from '../fleetView';
import type { JobCache } from '../jobs/jobCache';
import { newJobRunner } from '../jobs/jobRunner';
import { newJobStore } from '../jobs/jobStore';
import type { JobItem, JobRecord } from '../jobs/types';
import type { GatewayConfig } from '../types';
import { newMemoryStore } from './kit/memoryStore';

const TEAM = 'team';
const SELF = 'self';
const JOB_ID = 'job';
/** Version of the configuration by which the job was accepted. */
const ACCEPTED_VERSION = 6;
/** Time in which a runner would give the items up. */
const OBSERVED_MS = 500;
const ITEM: JobItem = { id: 'i1', path: '/p/', headers: [], body: Buffer.from('b'), tokens: 1 };
const RECORD: JobRecord = {
  id: JOB_ID,
  team: TEAM,
  route: 'route',
  host: 'host',
  configVersion: ACCEPTED_VERSION,
  submittedMs: 0,
  tokens: [ITEM.tokens],
  owner: SELF,
  listed: [],
  failures: {},
  isEnded: false,
};

const newConfig = (version: number): GatewayConfig => ({
  version,
  routes: [],
  services: [],
  teams: [],
  bounds: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const NO_UPSTREAMS: FleetView = {
  getCandidates: () => [],
  getBatchCandidates: () => [],
  getBatchCandidate: () => undefined,
  getUpstream: () => undefined,
  isCold: () => false,
  isEvacuated: () => false,
  getClosure: () => undefined,
  reportReplaced: () => undefined,
  getAdmissionIntervalMs: () => 1,
};

const NO_CACHE: JobCache = {
  get: () => undefined,
  getAll: () => [],
  put: () => undefined,
  waitForChange: () => Promise.resolve(),
  isCurrent: () => true,
  getStoreMs: () => 0,
};

/** A runner that owns an accepted job, with configurations that don't have the job's route. */
const startRunner = async () => {
  const clock = new SystemClock();
  const memory = newMemoryStore();
  const store = newJobStore(memory.records, memory.objects);
  let config = newConfig(ACCEPTED_VERSION - 1);
  const configWatch: ConfigWatch = {
    current: () => config,
    getTeam: () => undefined,
    areKeysFresh: () => true,
    stop: () => undefined,
  };
  const runner = newJobRunner({
    self: SELF,
    store,
    jobs: NO_CACHE,
    configWatch,
    view: NO_UPSTREAMS,
    protocol: {} as CallerProtocol,
    upstreamClient: { send: () => Promise.reject(new Error('no upstream')) },
    upstreamLoads: newLoadTracker(),
    items: newItemTracker(),
    health: newHealth(),
    crashDetector: { reportLost: () => undefined, reportRefused: () => undefined },
    quarantine: newInputQuarantine(),
    byteBudget: newByteBudget(Infinity),
    metrics: { countResponseEnd: () => undefined, countItemYield: () => undefined },
    getEligibleOwners: () => [SELF],
    isAlive: () => true,
    isViewCurrent: () => true,
    getListRevision: () => Infinity,
    retentionMs: 1000,
    clock,
    random: Math.random,
    log: newSilentLogger(),
  });
  const submission = await store.submit(RECORD, { items: [ITEM] }, { maxWaitingTokens: 0 });
  if (submission.kind !== 'accepted') throw new Error(submission.kind);
  runner.onJobChange(submission.job);
  return {
    applyConfig: (version: number) => {
      config = newConfig(version);
    },
    getResults: async () => {
      const page = await store.readResults(RECORD, 0, 1000, { timeoutMs: 0 });
      return page.ok ? page.value.results : undefined;
    },
    observe: () => sleep(clock, OBSERVED_MS),
    stop: () => runner.stop(),
  };
};

describe('a job that was accepted by a configuration which its owner does not know yet', () => {
  it('is given up only by a configuration that is not older and lacks its route', async () => {
    const { applyConfig, getResults, observe, stop } = await startRunner();
    await observe();
    const resultsBefore = await getResults();
    applyConfig(ACCEPTED_VERSION);
    const results = await waitFor('a result', async () => {
      const found = await getResults();
      return found?.length === 1 && found;
    });
    await stop();

    expect(resultsBefore).toEqual([]);
    expect(results).toEqual([{ id: ITEM.id, state: 'errored', output: '' }]);
  });
});
