import { ManualClock } from '@anvilpaddle/common';
import {
  newAttemptBudget,
  newRetryAfterSchedule,
  PART_STATE,
  type Candidate,
  type ScarceShare,
} from '@anvilpaddle/decisions';
import { newRequestPlacement } from '../online/requestPlacement';
import type { OnlineDependencies } from '../online/types';
import { ROUTE_KIND, type Route } from '../types';

const OBJECTIVE_MS = 300;
const ROUTE: Route = {
  name: 'route',
  host: 'site',
  prefix: '/',
  kind: ROUTE_KIND.repeatable,
  targets: [{ service: 'models', weight: 1 }],
  timeoutMs: 5000,
  latencyObjectiveMs: OBJECTIVE_MS,
  priority: 0,
  maxAttempts: 3,
  isPublic: false,
  isResumable: false,
  jobs: { dueMs: 0, expiryMs: 0, maxWaitingTokens: 0 },
};

/** An upstream with a request more than slots, so that the next one waits for 100 ms. */
const BUSY: Candidate = {
  id: 'u1',
  slots: 8,
  load: { online: 9, batch: 0 },
  weight: 1,
  isSameFailureDomain: true,
  upstreamMeanMs: 400,
  serviceMeanMs: 400,
  limitWaitMs: undefined,
  isCold: false,
};

const OVER: ScarceShare = {
  share: { teamSlots: 6, teamShare: 4, teamCapacity: 8 },
  hasFreeSlots: true,
};

/** Placement of a request at a busy upstream; `asked` are the holders whose shares were looked at. */
const newPlacement = (team: string | undefined, candidate: Candidate = BUSY) => {
  const asked: unknown[] = [];
  const budget = newAttemptBudget(ROUTE.maxAttempts);
  const dependencies: Pick<
    OnlineDependencies,
    | 'view'
    | 'upstreamLoads'
    | 'teamShares'
    | 'retrySchedule'
    | 'getGatewayCount'
    | 'clock'
    | 'random'
  > = {
    view: {
      getCandidates: () => [candidate],
      getBatchCandidates: () => [],
      getBatchCandidate: () => undefined,
      getUpstream: (id) => ({
        id,
        incarnation: id,
        service: 'models',
        address: { host: '127.0.0.1', port: 1 },
        failureDomain: 'zone-1',
        slots: 8,
        isDraining: false,
      }),
      isEvacuated: () => false,
      isCold: () => false,
      getClosure: () => undefined,
      reportReplaced: () => undefined,
      getAdmissionIntervalMs: () => 50,
    },
    upstreamLoads: {
      begin: () => undefined,
      end: () => undefined,
      getOwn: () => new Map(),
      updatePeer: () => undefined,
      removePeer: () => undefined,
      getLoad: () => candidate.load,
    },
    teamShares: {
      getShare: (holder) => {
        asked.push(holder);
        return OVER;
      },
      getRetryAfterMs: () => 700,
    },
    retrySchedule: newRetryAfterSchedule(),
    getGatewayCount: () => 1,
    clock: new ManualClock(),
    random: () => 0.5,
  };
  const placement = newRequestPlacement(
    {
      route: ROUTE,
      team,
      priority: 2,
      getElapsedMs: () => 0,
      getTimeLeftMs: () => 5000,
      budget,
    },
    dependencies as OnlineDependencies,
  );
  const getStep = () => placement.getNextStep('models', { state: PART_STATE.clear });
  return { ...placement, getStep, budget, asked };
};

describe('placement of a request whose team is over its share', () => {
  it('refuses it instead of queueing it, with what the log and the caller are told', () => {
    const { getStep, getRetryAfterMs, asked } = newPlacement('one');
    const step = getStep();

    expect(step).toEqual({ kind: 'refuse', queueMs: 100, share: OVER.share, isOverShare: true });
    expect(step.kind === 'refuse' && getRetryAfterMs('models', step)).toBe(700);
    expect(asked).toEqual([{ service: 'models', team: 'one', priority: 2 }]);
  });

  it('sends it to a free slot', () => {
    const { getStep } = newPlacement('one', { ...BUSY, load: { online: 7, batch: 1 } });

    expect(getStep()).toMatchObject({ kind: 'send', choice: { waitMs: 0 }, share: OVER.share });
  });

  // Guards against work that is lost because its team has begun more of it since.
  it('queues a request that may have run', () => {
    const { getStep, budget, asked } = newPlacement('one');
    budget.begin('u0');

    expect(getStep()).toMatchObject({ kind: 'send', choice: { waitMs: 100 }, share: undefined });
    expect(asked).toEqual([]);
  });

  it('queues a request that names no team', () => {
    expect(newPlacement(undefined).getStep()).toMatchObject({
      kind: 'send',
      choice: { waitMs: 100 },
    });
  });

  // Guards against a time to come back that ignores the limits which upstreams name.
  it('tells of the limits of upstreams where these are the reason', () => {
    const { getStep, getRetryAfterMs } = newPlacement('one', { ...BUSY, limitWaitMs: 900 });
    const step = getStep();

    expect(step).toMatchObject({ kind: 'refuse', limitWaitMs: 900, isOverShare: false });
    expect(step.kind === 'refuse' && getRetryAfterMs('models', step)).toBe(900);
  });
});
