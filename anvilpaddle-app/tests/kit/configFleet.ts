import {
  getHash,
  loadHashing,
  ManualClock,
  newFailure,
  newOk,
  newSeededRandom,
  newSilentLogger,
  type Timer,
} from '@anvilpaddle/common';
import type { TableService, Vm } from '@anvilpaddle/platform';
import type { Method, MethodParams } from '@anvilpaddle/protocol';
import { newInMemoryTables, type InMemoryTables } from '@anvilpaddle/standins';
import { newConfigController, type ConfigController } from '../../controllers/configController';
import type { PeerClient } from '../../peers/peerClient';

const INTERVAL_MS = 100;

/** Clock on which nothing happens by itself: tests refresh each node when they mean it. */
class StepClock extends ManualClock {
  override every(): Timer {
    return { cancel: () => undefined };
  }
}

/** Faults of one node's calls to the store. */
export interface StoreFault {
  /** Calls fail before they take effect. */
  isDown: boolean;
  /** Transactions still to take effect without an answer. */
  lostAnswers: number;
}

/** One process of the fleet without sockets. */
export interface ConfigNode {
  readonly vm: string;
  readonly store: StoreFault;
  controller: ConfigController;
  isAlive: boolean;
}

/** Configuration controllers joined by function calls, each link of which can be cut. */
export interface ConfigFleet {
  readonly clock: ManualClock;
  readonly tables: InMemoryTables;
  readonly nodes: readonly ConfigNode[];
  /** Messages between processes so far, with both directions' bytes. */
  readonly traffic: { messages: number; bytes: number };
  setCut(a: string, b: string, isCut: boolean): void;
  setList(vms: readonly Vm[]): void;
  restart(node: ConfigNode): void;
}

/** Vm of an entry or sidecar for a test's list. */
export const getTestVm = (vm: string, failureDomain: string): Vm => ({
  vm,
  address: vm,
  role: vm.startsWith('entry') ? 'entry' : 'sidecar',
  failureDomain,
  state: 'live',
});

const newStoreClient = (tables: InMemoryTables, fault: StoreFault): TableService => {
  const run = async <T>(action: () => T) =>
    fault.isDown ? newFailure({ kind: 'unavailable', detail: 'down' } as const) : newOk(action());
  return {
    get: (table, key) => run(() => tables.get(table, key)),
    scan: (table, range) => run(() => tables.scan(table, range)),
    transact: async (transaction) => {
      const committed = await run(() => tables.transact(transaction));
      if (!committed.ok || fault.lostAnswers === 0) return committed;
      // eslint-disable-next-line no-param-reassign -- counts itself down
      fault.lostAnswers -= 1;
      return newFailure({ kind: 'unknown', detail: 'lost' } as const);
    },
  };
};

/** Starts a controller for each VM; time moves only by the clock. */
export const newConfigFleet = async (
  list: readonly Vm[],
  intervalMs = INTERVAL_MS,
): Promise<ConfigFleet> => {
  await loadHashing();
  const clock = new StepClock();
  const tables = newInMemoryTables();
  const cuts = new Set<string>();
  const traffic = { messages: 0, bytes: 0 };
  const nodes: ConfigNode[] = [];
  const byName = new Map<string, ConfigNode>();
  let vms = list;

  const newPeers = (from: string): Pick<PeerClient, 'call'> => ({
    call: async (address: string, method: Method, params: unknown) => {
      await Promise.resolve();
      const target = byName.get(address);
      if (target?.isAlive !== true || cuts.has(`${from} ${address}`)) {
        return newFailure({ kind: 'unreachable', detail: address } as const);
      }
      const { handlers } = target.controller;
      const answer =
        method === 'config.read'
          ? await handlers['config.read'](params as MethodParams<'config.read'>)
          : await handlers['config.push'](params as MethodParams<'config.push'>);
      const text = JSON.stringify(answer);
      traffic.messages += 1;
      traffic.bytes += text.length + JSON.stringify(params).length;
      return newOk(JSON.parse(text) as never);
    },
  });
  const newController = (vm: Vm, store: StoreFault): ConfigController =>
    newConfigController({
      self: { vm: vm.vm, failureDomain: vm.failureDomain, role: vm.role, address: vm.address },
      peers: newPeers(vm.vm),
      seeds: [],
      tables: newStoreClient(tables, store),
      getVms: () => vms,
      getLive: () => [],
      intervalMs,
      clock,
      random: newSeededRandom(getHash(vm.vm)),
      log: newSilentLogger(),
    });
  list.forEach((vm) => {
    const store: StoreFault = { isDown: false, lostAnswers: 0 };
    const node = { vm: vm.vm, store, controller: newController(vm, store), isAlive: true };
    nodes.push(node);
    byName.set(node.vm, node);
  });

  return {
    clock,
    tables,
    nodes,
    traffic,
    setCut: (a, b, isCut) =>
      [`${a} ${b}`, `${b} ${a}`].forEach((link) => (isCut ? cuts.add(link) : cuts.delete(link))),
    setList: (next) => {
      vms = next;
    },
    restart: (node) => {
      const vm = list.find(({ vm: name }) => name === node.vm);
      if (vm === undefined) return;
      // eslint-disable-next-line no-param-reassign -- a new process on the same VM
      node.controller = newController(vm, node.store);
    },
  };
};
