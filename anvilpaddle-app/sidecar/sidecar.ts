/** Sidecar process: serves attempts and runs batch items at one upstream. */

import {
  newAttemptLedger,
  PreemptiveScheduler,
  type SchedulerBounds,
  type Scheduler,
} from '@anvilpaddle/decisions';
import { MS_PER_MINUTE, type Clock, type Logger } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import { PEER_PATH } from '@anvilpaddle/protocol';
import { newPeerServer } from '../peers/peerServer';
import { newFleetNode, type NodeState } from '../process/fleetNode';
import { sleep, waitUntil, type Program } from '../process/program';
import type { SidecarSettings } from '../processSettings/schema';
import { newAttemptServer } from './attemptServer';
import { newBatchWorker, type BatchWorker } from './batchWorker';
import { newTeamSettings } from './teamSettings';
import { newModelList } from './modelList';
import { newUpstreamClient } from './upstreamClient';
import { newUpstreamDispatcher } from './upstreamDispatcher';

const MODELS_REFRESH_INTERVAL_MS = 1000;
const ATTEMPT_LEDGER_BOUNDS = {
  retentionMs: MS_PER_MINUTE,
  maxRecords: 50_000,
  maxSenders: 10_000,
} as const;

/** Creates the scheduler; measurements replace it with a naive one for comparison. */
export type SchedulerFactory = (bounds: SchedulerBounds) => Scheduler;

/** Starts a sidecar; rejects when its port is in use, so that two never share an upstream. */
export const newSidecar = async (
  processSettings: SidecarSettings,
  clock: Clock,
  log: Logger,
  newScheduler: SchedulerFactory = (bounds) => new PreemptiveScheduler(bounds),
): Promise<Program> => {
  const client = newUpstreamClient(processSettings.upstream.url, processSettings.upstream.slots);
  const models = newModelList(async () =>
    processSettings.upstream.kind === 'engine' ? client.listModels() : [],
  );
  await models.refresh();
  let isDraining = false;
  let isRefusing = false;
  const getState = (): NodeState => ({
    leaving: isDraining,
    group: processSettings.upstream.group,
    models: [...models.current()],
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- `getState` and `dispatcher` refer to each other
    load: dispatcher.load(),
  });
  const node = newFleetNode(processSettings, 'sidecar', getState, clock, log);
  const { incarnation, platform, config, members } = node;
  const getSettings = newTeamSettings(config.current, processSettings.process.failure_domain);
  const { slots, reserve, batch_slots: batchSlots = slots } = processSettings.upstream;
  const getMaxWaitMs = (team: string): number => getSettings(team)['scheduling.max_wait'];
  const scheduler = newScheduler({ slots, reserve, batchSlots, getMaxWaitMs });
  const dispatcher = newUpstreamDispatcher(scheduler, clock, log);
  const getWeight = (team: string): number => getSettings(team)['scheduling.weight'];
  const sharedDependencies = {
    dispatcher,
    client,
    clock,
    log,
    getWeight,
    isStopping: () => isRefusing,
  };
  const attemptServer = newAttemptServer({
    ...sharedDependencies,
    incarnation,
    ledger: newAttemptLedger(ATTEMPT_LEDGER_BOUNDS),
  });
  const isSidecarOfGroup = ({ role, group }: Vm): boolean =>
    role === 'sidecar' && (group === undefined || group === processSettings.upstream.group);
  let worker: BatchWorker | undefined;
  const server = await newPeerServer(
    processSettings.peers.listen,
    processSettings.peers.secrets,
    {
      ...node.handlers,
      'attempt.revoke': (revocation) => attemptServer.revoke(revocation),
      'job.ended': ({ job }) => {
        worker?.recheckJob(job);
        return {};
      },
    },
    { [PEER_PATH.attempts]: attemptServer.serve },
    log,
  );
  worker = newBatchWorker({
    ...sharedDependencies,
    // No chunks are claimed from the start of a stop on, while attempts are still served.
    isStopping: () => isDraining,
    owner: incarnation,
    group: processSettings.upstream.group,
    slots: batchSlots,
    random: Math.random,
    getConfig: config.current,
    getModels: models.current,
    getSidecarCount: () => Math.max(1, members.listed().filter(isSidecarOfGroup).length),
    tables: platform.tables,
    objects: platform.objects,
  });
  const modelsTimer = clock.every(MODELS_REFRESH_INTERVAL_MS, () => {
    void models.refresh();
  });
  await config.refresh();
  log.info({ address: node.address, incarnation, models: models.current() }, 'sidecar is ready');

  return {
    stop: async () => {
      isDraining = true;
      // Attempts are still served during the grace period: entry processes that have not received
      // the announcement yet may have requests under way.
      await Promise.all([members.announce(), sleep(clock, processSettings.process.stop_grace)]);
      isRefusing = true;
      await waitUntil(clock, () => attemptServer.open() === 0);
      modelsTimer.cancel();
      await worker?.close();
      await node.close();
      await dispatcher.close();
      await server.close();
      await Promise.all([client.close(), node.disconnect()]);
    },
  };
};
