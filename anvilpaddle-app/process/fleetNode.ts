/** Parts that entry and sidecar processes have in common. */
import { formatAddress, newId, type Clock, type Logger } from '@anvilpaddle/common';
import { newPlatform, type NodeRole, type Platform } from '@anvilpaddle/platform';
import type { Member } from '@anvilpaddle/protocol';
import { newConfigController, type ConfigController } from '../controllers/configController';
import { newMemberController, type MemberController } from '../controllers/memberController';
import { newPeerClient, type PeerClient } from '../peers/peerClient';
import type { MethodHandlers } from '../peers/peerServer';
import type { EntrySettings, SidecarSettings } from '../processSettings/schema';
import { getMemberTiming } from './memberTiming';

/** State that a process reports to others, in addition to what its settings determine. */
export type NodeState = Pick<Member, 'leaving' | 'models' | 'group' | 'load'>;

/** Parts that every process of the fleet has: message client, configuration and membership. */
export interface FleetNode {
  /** Identifies this run of the process. */
  readonly incarnation: string;
  /** `HOST:PORT` at which other processes reach this one. */
  readonly address: string;
  /** Fleet secret that authenticates the messages of this process. */
  readonly secret: string;
  readonly platform: Platform;
  readonly peers: PeerClient;
  readonly config: ConfigController;
  readonly members: MemberController;
  /** Handlers of the membership and configuration methods. */
  readonly handlers: MethodHandlers;
  /** Stops the controllers; messages can still be sent until `disconnect`. */
  close(): Promise<void>;
  /** Closes the connections to other processes and to the platform. */
  disconnect(): Promise<void>;
}

/** Creates the common parts of a process; `getState` returns its state at the time of the call. */
export const newFleetNode = (
  settings: EntrySettings | SidecarSettings,
  role: NodeRole,
  getState: () => NodeState,
  clock: Clock,
  log: Logger,
): FleetNode => {
  const incarnation = newId('inc');
  const { vm, failure_domain: failureDomain } = settings.process;
  const localAddress = settings.peers.listen.host;
  const address = formatAddress(settings.peers.advertise ?? settings.peers.listen);
  const secret = settings.peers.secrets[0] ?? '';
  const { url, timeout, refresh } = settings.platform;
  const platform = newPlatform(url, timeout, localAddress);
  const peers = newPeerClient(secret, timeout, clock, localAddress);
  const config = newConfigController({
    self: { vm, failureDomain, role, address },
    peers,
    seeds: settings.peers.seeds,
    tables: platform.tables,
    /* eslint-disable @typescript-eslint/no-use-before-define -- config and members refer to each other */
    getVms: () => members.listed(),
    getLiveMembers: () => members.live(),
    /* eslint-enable @typescript-eslint/no-use-before-define */
    refreshIntervalMs: refresh,
    clock,
    random: Math.random,
    log,
  });
  const getSelf = (): Member => ({
    vm,
    address,
    role,
    failureDomain,
    incarnation,
    revision: config.current().revision,
    ...getState(),
  });
  const timing = getMemberTiming(settings);
  const members = newMemberController(platform.vms, peers, getSelf, timing, clock, log);

  return {
    incarnation,
    address,
    secret,
    platform,
    peers,
    config,
    members,
    handlers: {
      ...config.handlers,
      'member.heartbeat': ({ member }) => ({ member: members.recordHeartbeat(member) }),
    },
    close: async () => {
      await members.close();
      await config.close();
    },
    disconnect: async () => {
      await Promise.all([peers.close(), platform.close()]);
    },
  };
};
