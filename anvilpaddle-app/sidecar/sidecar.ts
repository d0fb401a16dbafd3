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
import { newUpstreamTask } from './upstreamTask';

const MODELS_INTERVAL_MS = 1000;
const LEDGER_BOUNDS = {
  retentionMs: MS_PER_MINUTE,
  maxRecords: 50_000,
  maxSenders: 10_000,
} as const;

/** Makes the scheduler; a measurement replaces it by a naive version. */
export type SchedulerFactory = (bounds: SchedulerBounds) => Scheduler;

/** Starts a sidecar; rejects when its port is taken, so that two never share an upstream. */
export const newSidecar = async (
  file: SidecarSettings,
  clock: Clock,
  log: Logger,
  newScheduler: SchedulerFactory = (bounds) => new PreemptiveScheduler(bounds),
): Promise<Program> => {
  const client = newUpstreamClient(file.upstream.url, file.upstream.slots);
  const models = newModelList(async () =>
    file.upstream.kind === 'engine' ? client.listModels() : [],
  );
  await models.refresh();
  let isLeaving = false;
  let isRefusing = false;
  const getState = (): NodeState => ({
    leaving: isLeaving,
    group: file.upstream.group,
    models: [...models.current()],
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the two refer to each other
    load: task.load(),
  });
  const node = newFleetNode(file, 'sidecar', getState, clock, log);
  const { incarnation, platform, config, members } = node;
  const getSettings = newTeamSettings(config.current, file.process.failure_domain);
  const { slots, reserve, batch_slots: batchSlots = slots } = file.upstream;
  const getMaxWaitMs = (team: string): number => getSettings(team)['scheduling.max_wait'];
  const scheduler = newScheduler({ slots, reserve, batchSlots, getMaxWaitMs });
  const task = newUpstreamTask(scheduler, clock, log);
  const getWeight = (team: string): number => getSettings(team)['scheduling.weight'];
  const shared = { task, client, clock, log, getWeight, isStopping: () => isRefusing };
  const attemptServer = newAttemptServer({
    ...shared,
    incarnation,
    ledger: newAttemptLedger(LEDGER_BOUNDS),
  });
  const isOfGroup = ({ role, group }: Vm): boolean =>
    role === 'sidecar' && (group === undefined || group === file.upstream.group);
  let worker: BatchWorker | undefined;
  const server = await newPeerServer(
    file.peers.listen,
    file.peers.secrets,
    {
      ...node.handlers,
      'attempt.revoke': (revocation) => attemptServer.revoke(revocation),
      'job.ended': ({ job }) => {
        worker?.hearJobEnded(job);
        return {};
      },
    },
    { [PEER_PATH.attempts]: attemptServer.serve },
    log,
  );
  worker = newBatchWorker({
    ...shared,
    isStopping: () => isLeaving,
    owner: incarnation,
    group: file.upstream.group,
    slots: batchSlots,
    random: Math.random,
    getConfig: config.current,
    getModels: models.current,
    getSidecarCount: () => Math.max(1, members.listed().filter(isOfGroup).length),
    tables: platform.tables,
    objects: platform.objects,
  });
  const modelsTimer = clock.every(MODELS_INTERVAL_MS, () => {
    void models.refresh();
  });
  await config.refresh();
  log.info({ address: node.address, incarnation, models: models.current() }, 'sidecar is ready');

  return {
    stop: async () => {
      isLeaving = true;
      // An entry that has not heard yet is served, since its request may be on the way.
      await Promise.all([members.announce(), sleep(clock, file.process.stop_grace)]);
      isRefusing = true;
      await waitUntil(clock, () => attemptServer.open() === 0);
      modelsTimer.cancel();
      await worker?.close();
      await node.close();
      await task.close();
      await server.close();
      await Promise.all([client.close(), node.disconnect()]);
    },
  };
};
