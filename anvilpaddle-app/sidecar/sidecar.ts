import { YieldingScheduler } from '@anvilpaddle/decisions';
import { getAddressText, MS_PER_MINUTE, newId, type Clock, type Logger } from '@anvilpaddle/common';
import { newPlatform } from '@anvilpaddle/platform';
import { PEER_PATH, type Member } from '@anvilpaddle/protocol';
import { newConfigController } from '../controllers/configController';
import { newMemberController } from '../controllers/memberController';
import { newPeerClient } from '../peers/peerClient';
import { newPeerServer } from '../peers/peerServer';
import { waitUntil, type Program } from '../process/program';
import type { SidecarFile } from '../processSettings/schema';
import { newAttemptLog } from './attemptLog';
import { newAttemptServer } from './attemptServer';
import { newBatchWorker } from './batchWorker';
import { newTeamSettings } from './teamSettings';
import { newUpstreamClient } from './upstreamClient';
import { newUpstreamTask } from './upstreamTask';

const MODELS_INTERVAL_MS = 1000;
const ATTEMPT_RETENTION_MS = 10 * MS_PER_MINUTE;

/** Starts a sidecar; rejects when its port is taken, so that two never share an upstream. */
export const newSidecar = async (
  file: SidecarFile,
  clock: Clock,
  log: Logger,
): Promise<Program> => {
  const incarnation = newId('inc');
  const localAddress = file.peers.listen.host;
  const platform = newPlatform(file.platform.url, file.platform.timeout, localAddress);
  const peers = newPeerClient(
    file.peers.secrets[0] ?? '',
    file.platform.timeout,
    clock,
    localAddress,
  );
  const config = newConfigController(platform.tables, clock, file.platform.refresh, log);
  const client = newUpstreamClient(file.upstream.url, file.upstream.slots);
  const getSettings = newTeamSettings(config.current, file.process.failure_domain);
  const { slots, reserve, batch_slots: batchSlots = slots } = file.upstream;
  const getMaxWaitMs = (team: string): number => getSettings(team)['scheduling.max_wait'];
  const scheduler = new YieldingScheduler({ slots, reserve, batchSlots, getMaxWaitMs });
  const task = newUpstreamTask(scheduler, clock, log);
  const address = getAddressText(file.peers.advertise ?? file.peers.listen);
  const readModels = async (): Promise<readonly string[]> =>
    file.upstream.kind === 'engine' ? client.listModels() : [];
  let models = await readModels();
  let isStopping = false;

  const getWeight = (team: string): number => getSettings(team)['scheduling.weight'];
  const getSelf = (): Member => ({
    vm: file.process.vm,
    address,
    role: 'sidecar',
    failureDomain: file.process.failure_domain,
    incarnation,
    leaving: isStopping,
    group: file.upstream.group,
    models: [...models],
    load: task.load(),
    revision: config.current().revision,
  });

  const shared = { task, client, clock, log, getWeight, isStopping: () => isStopping };
  const attemptServer = newAttemptServer({
    ...shared,
    incarnation,
    attempts: newAttemptLog(ATTEMPT_RETENTION_MS),
  });
  const members = newMemberController(
    platform.vms,
    peers,
    getSelf,
    { heartbeatMs: file.peers.heartbeat, silenceMs: file.peers.silence },
    clock,
    log,
  );
  const server = await newPeerServer(
    file.peers.listen,
    file.peers.secrets,
    {
      'member.heartbeat': ({ member }) => ({ member: members.hear(member) }),
      'attempt.revoke': (revocation) => attemptServer.revoke(revocation),
    },
    { [PEER_PATH.attempts]: attemptServer.serve },
    log,
  );
  const worker = newBatchWorker({
    ...shared,
    owner: incarnation,
    group: file.upstream.group,
    tables: platform.tables,
    objects: platform.objects,
  });
  const modelsTimer = clock.every(MODELS_INTERVAL_MS, () => {
    void readModels().then((listed) => {
      models = listed;
    });
  });
  await config.refresh();
  log.info({ address, incarnation, models }, 'sidecar is ready');

  return {
    stop: async () => {
      isStopping = true;
      await members.announce();
      await waitUntil(clock, () => attemptServer.open() === 0);
      modelsTimer.cancel();
      await worker.close();
      await members.close();
      await config.close();
      await task.close();
      await server.close();
      await Promise.all([client.close(), peers.close(), platform.close()]);
    },
  };
};
