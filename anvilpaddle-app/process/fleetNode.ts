import { formatAddress, newId, type Clock, type Logger } from '@anvilpaddle/common';
import { newPlatform, type VmRole, type Platform } from '@anvilpaddle/platform';
import type { Member } from '@anvilpaddle/protocol';
import { newConfigController, type ConfigController } from '../controllers/configController';
import { newMemberController, type MemberController } from '../controllers/memberController';
import { newPeerClient, type PeerClient } from '../peers/peerClient';
import type { Handlers } from '../peers/peerServer';
import type { EntryFile, SidecarFile } from '../processSettings/schema';
import { getMemberTiming } from './memberTiming';

/** What a process tells of itself besides what its settings say. */
export type NodeState = Pick<Member, 'leaving' | 'models' | 'group' | 'load'>;

/** What every process of the fleet has: its place among the others and the configuration. */
export interface FleetNode {
  /** Unique to this process. */
  readonly incarnation: string;
  /** Address that other processes use. */
  readonly address: string;
  /** Fleet secret that this process sends. */
  readonly secret: string;
  readonly platform: Platform;
  readonly peers: PeerClient;
  readonly config: ConfigController;
  readonly members: MemberController;
  /** Answers to the messages about members and configuration. */
  readonly handlers: Handlers;
  /** Ends the controllers; call `disconnect` when nothing is sent any more. */
  close(): Promise<void>;
  disconnect(): Promise<void>;
}

/** Node of one role; `getState` gives its state at the moment of the call. */
export const newFleetNode = (
  file: EntryFile | SidecarFile,
  role: VmRole,
  getState: () => NodeState,
  clock: Clock,
  log: Logger,
): FleetNode => {
  const incarnation = newId('inc');
  const { vm, failure_domain: failureDomain } = file.process;
  const localAddress = file.peers.listen.host;
  const address = formatAddress(file.peers.advertise ?? file.peers.listen);
  const secret = file.peers.secrets[0] ?? '';
  const { url, timeout, refresh } = file.platform;
  const platform = newPlatform(url, timeout, localAddress);
  const peers = newPeerClient(secret, timeout, clock, localAddress);
  const config = newConfigController({
    self: { vm, failureDomain, role, address },
    peers,
    seeds: file.peers.seeds,
    tables: platform.tables,
    /* eslint-disable @typescript-eslint/no-use-before-define -- the two refer to each other */
    getVms: () => members.listed(),
    getLive: () => members.live(),
    /* eslint-enable @typescript-eslint/no-use-before-define */
    intervalMs: refresh,
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
  const timing = getMemberTiming(file);
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
      'member.heartbeat': ({ member }) => ({ member: members.hear(member) }),
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
