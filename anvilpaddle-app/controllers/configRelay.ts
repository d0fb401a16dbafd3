/** Exchange of the configuration between processes, with quorums of voters. */
import {
  getWriteQuorum,
  getConfigSource,
  getVoters,
  isConfirmedByQuorum,
  type LocalConfig,
  type RelayNode,
  type Vote,
} from '@anvilpaddle/decisions';
import { getRandomElement, type Clock, type Random } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import type { ConfigChange, ConfigState, Member } from '@anvilpaddle/protocol';
import type { PeerClient } from '../peers/peerClient';

/** A change is also pushed to the live processes that are not voters, unless more than this number. */
const MAX_DIRECT_PUSHES = 32;

/** Dependencies of the configuration relay. */
export interface ConfigRelayDependencies {
  readonly self: RelayNode & { readonly role: Member['role']; readonly address: string };
  readonly peers: Pick<PeerClient, 'call'>;
  /** Addresses to contact when the VM list of the platform has not been read. */
  readonly seeds: readonly string[];
  readonly getVms: () => readonly Vm[];
  readonly getLiveMembers: () => readonly Member[];
  readonly clock: Clock;
  readonly random: Random;
}

/** Roles in the exchange of the configuration, derived from the VM list. */
interface Topology {
  readonly vms: readonly Vm[];
  readonly voters: readonly Vm[];
  readonly source: string | undefined;
}

/** Exchanges the configuration with other processes. */
export interface ConfigRelay {
  /** Whether this process reads the store and counts towards the quorums. */
  isVoter(): boolean;
  /** Number of processes in the VM list, at least 1. */
  getFleetSize(): number;
  /**
   * Reads the configuration from the source of this process, or from a random process when the
   * configuration is late, and adopts its age.
   */
  askSource(isLate: boolean): Promise<void>;
  /** Asks all voters; resolves once a quorum has confirmed the revision or all have responded. */
  askVoters(): Promise<void>;
  /** Pushes a change; resolves with whether a write quorum of the voters holds it. */
  push(change: ConfigChange): Promise<boolean>;
}

/** Creates a relay that applies received changes to the local configuration. */
export const newConfigRelay = (
  local: LocalConfig,
  dependencies: ConfigRelayDependencies,
): ConfigRelay => {
  const { self, peers, clock } = dependencies;

  let topology: Topology | undefined;

  /** Recomputed only when the VM list has been read again. */
  const getTopology = (): Topology => {
    const vms = dependencies.getVms();
    if (topology?.vms !== vms) {
      topology = { vms, voters: getVoters(vms), source: getConfigSource(self, vms) };
    }
    return topology;
  };
  const getVoterVms = (): readonly Vm[] => getTopology().voters;

  /** Reads the configuration of another process; undefined when it does not respond. */
  const readConfigFrom = async (
    address: string,
  ): Promise<{ askedMs: number; state: ConfigState } | undefined> => {
    const askedMs = clock.monotonic();
    const after = local.current().revision;
    const response = await peers.call(address, 'config.read', { after });
    if (!response.ok) return undefined;
    local.applyState(response.value);
    return { askedMs, state: response.value };
  };

  /** Source of this process or, when late, a random process that may have a newer configuration. */
  const pickSource = (isLate: boolean): string | undefined => {
    const voters = getVoterVms();
    const ownSource = getTopology().source;
    if (ownSource !== undefined && !isLate) return ownSource;
    const addresses = [
      ...voters.map(({ address }) => address),
      ...dependencies.seeds,
      ...(voters.length > 0 ? [] : dependencies.getLiveMembers().map(({ address }) => address)),
    ];
    return getRandomElement(
      addresses.filter((address) => address !== self.address),
      dependencies.random,
    );
  };

  const pushTo = async (address: string, change: ConfigChange): Promise<boolean> => {
    const response = await peers.call(address, 'config.push', { change });
    return response.ok && response.value.revision >= change.revision;
  };

  return {
    isVoter: () => getVoterVms().some(({ vm }) => vm === self.vm),
    getFleetSize: () => Math.max(1, dependencies.getVms().length),
    askSource: async (isLate) => {
      const source = pickSource(isLate);
      const response = source === undefined ? undefined : await readConfigFrom(source);
      if (response?.state.ageMs === undefined) return;
      const { askedMs, state } = response;
      if (state.revision <= local.current().revision) local.confirm(askedMs - (state.ageMs ?? 0));
    },
    askVoters: () =>
      new Promise((resolve) => {
        const voters = getVoterVms();
        const names = voters.map(({ vm }) => vm);
        const startMs = clock.monotonic();
        const votes: Vote[] = [];
        const countVote = (vote: Vote | undefined): void => {
          if (vote !== undefined) votes.push(vote);
          if (!isConfirmedByQuorum(local.current().revision, votes, names)) return;
          local.confirm(startMs);
          resolve();
        };
        const others = voters.filter(({ vm }) => vm !== self.vm);
        const queries = others.map(async ({ vm, address }) => {
          const response = await readConfigFrom(address);
          countVote(
            response && { vm, revision: response.state.revision, synced: response.state.synced },
          );
        });
        countVote({ vm: self.vm, revision: local.current().revision, synced: local.isSynced() });
        void Promise.all(queries).then(() => resolve());
      }),
    push: (change) =>
      new Promise((resolve) => {
        const voters = getVoterVms();
        const isVoter = voters.some(({ vm }) => vm === self.vm);
        const others = voters.filter(({ vm }) => vm !== self.vm);
        const quorum = getWriteQuorum(voters.length);
        let holders = isVoter || voters.length === 0 ? 1 : 0;
        const countHolder = (holds: boolean): void => {
          if (holds) holders += 1;
          if (holders >= quorum) resolve(true);
        };
        const pushes = others.map(async ({ address }) =>
          countHolder(await pushTo(address, change)),
        );
        if (holders >= quorum) resolve(true);
        void Promise.all(pushes).then(() => resolve(holders >= quorum));
        const notified = new Set([self.vm, ...others.map(({ vm }) => vm)]);
        const rest = dependencies.getLiveMembers().filter(({ vm }) => !notified.has(vm));
        if (rest.length > MAX_DIRECT_PUSHES) return;
        rest.forEach(({ address }) => {
          void peers.call(address, 'config.push', { change });
        });
      }),
  };
};
