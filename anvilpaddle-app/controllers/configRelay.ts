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

const PUSH_TO_ALL = 32;

/** What the relay works with. */
export interface ConfigRelayDependencies {
  readonly self: RelayNode & { readonly role: Member['role']; readonly address: string };
  readonly peers: Pick<PeerClient, 'call'>;
  /** Addresses to ask when the platform's list has not been read. */
  readonly seeds: readonly string[];
  readonly getVms: () => readonly Vm[];
  readonly getLiveMembers: () => readonly Member[];
  readonly clock: Clock;
  readonly random: Random;
}

interface Topology {
  readonly vms: readonly Vm[];
  readonly voters: readonly Vm[];
  readonly source: string | undefined;
}

/** Exchanges the configuration with other processes. */
export interface ConfigRelay {
  /** Whether this process reads the store and holds accepted changes. */
  isVoter(): boolean;
  /** Processes of the system that this one knows, itself included. */
  getFleetSize(): number;
  /** Asks its source, or any other when late, and takes over how current that is. */
  askSource(isLate: boolean): Promise<void>;
  /** Asks all voters; resolves when enough have vouched or all have answered. */
  askVoters(): Promise<void>;
  /** Pushes a change; resolves with whether enough voters hold it. */
  push(change: ConfigChange): Promise<boolean>;
}

/** Relay that keeps what it hears in the local configuration. */
export const newConfigRelay = (
  local: LocalConfig,
  services: ConfigRelayDependencies,
): ConfigRelay => {
  const { self, peers, clock } = services;

  let topology: Topology | undefined;

  /** Worked out anew only when the list has been read again. */
  const getTopology = (): Topology => {
    const vms = services.getVms();
    if (topology?.vms !== vms) {
      topology = { vms, voters: getVoters(vms), source: getConfigSource(self, vms) };
    }
    return topology;
  };
  const getAllVoters = (): readonly Vm[] => getTopology().voters;

  const ask = async (
    address: string,
  ): Promise<{ askedMs: number; state: ConfigState } | undefined> => {
    const askedMs = clock.monotonic();
    const after = local.current().revision;
    const answer = await peers.call(address, 'config.read', { after });
    if (!answer.ok) return undefined;
    local.applyState(answer.value);
    return { askedMs, state: answer.value };
  };

  /** Its own source, or, when that does not help, any process that may know more. */
  const pickSource = (isLate: boolean): string | undefined => {
    const voters = getAllVoters();
    const known = getTopology().source;
    if (known !== undefined && !isLate) return known;
    const addresses = [
      ...voters.map(({ address }) => address),
      ...services.seeds,
      ...(voters.length > 0 ? [] : services.getLiveMembers().map(({ address }) => address)),
    ];
    return getRandomElement(
      addresses.filter((address) => address !== self.address),
      services.random,
    );
  };

  const pushTo = async (address: string, change: ConfigChange): Promise<boolean> => {
    const answer = await peers.call(address, 'config.push', { change });
    return answer.ok && answer.value.revision >= change.revision;
  };

  return {
    isVoter: () => getAllVoters().some(({ vm }) => vm === self.vm),
    getFleetSize: () => Math.max(1, services.getVms().length),
    askSource: async (isLate) => {
      const source = pickSource(isLate);
      const heard = source === undefined ? undefined : await ask(source);
      if (heard?.state.ageMs === undefined) return;
      const { askedMs, state } = heard;
      if (state.revision <= local.current().revision) local.confirm(askedMs - (state.ageMs ?? 0));
    },
    askVoters: () =>
      new Promise((resolve) => {
        const voters = getAllVoters();
        const names = voters.map(({ vm }) => vm);
        const startMs = clock.monotonic();
        const votes: Vote[] = [];
        const count = (vote: Vote | undefined): void => {
          if (vote !== undefined) votes.push(vote);
          if (!isConfirmedByQuorum(local.current().revision, votes, names)) return;
          local.confirm(startMs);
          resolve();
        };
        const others = voters.filter(({ vm }) => vm !== self.vm);
        const asked = others.map(async ({ vm, address }) => {
          const heard = await ask(address);
          count(heard && { vm, revision: heard.state.revision, synced: heard.state.synced });
        });
        count({ vm: self.vm, revision: local.current().revision, synced: local.isSynced() });
        void Promise.all(asked).then(() => resolve());
      }),
    push: (change) =>
      new Promise((resolve) => {
        const voters = getAllVoters();
        const isVoter = voters.some(({ vm }) => vm === self.vm);
        const others = voters.filter(({ vm }) => vm !== self.vm);
        const quorum = getWriteQuorum(voters.length);
        let holders = isVoter || voters.length === 0 ? 1 : 0;
        const count = (holds: boolean): void => {
          if (holds) holders += 1;
          if (holders >= quorum) resolve(true);
        };
        const pushed = others.map(async ({ address }) => count(await pushTo(address, change)));
        if (holders >= quorum) resolve(true);
        void Promise.all(pushed).then(() => resolve(holders >= quorum));
        const told = new Set([self.vm, ...others.map(({ vm }) => vm)]);
        const rest = services.getLiveMembers().filter(({ vm }) => !told.has(vm));
        if (rest.length > PUSH_TO_ALL) return;
        rest.forEach(({ address }) => {
          void peers.call(address, 'config.push', { change });
        });
      }),
  };
};
