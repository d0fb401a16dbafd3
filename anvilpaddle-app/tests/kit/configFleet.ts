/** Configuration controllers of several processes on a manual clock, with faults between them. */
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
import { newTables, type Tables } from '@anvilpaddle/standins';
import { newConfigController, type ConfigController } from '../../controllers/configController';
import type { PeerClient } from '../../peers/peerClient';

const REFRESH_INTERVAL_MS = 100;

/** Clock without periodic timers: tests refresh each node explicitly. */
class StepClock extends ManualClock {
  override every(): Timer {
    return { cancel: () => undefined };
  }
}

/** Faults that are injected into one node's calls to the store. */
export interface StoreFaults {
  /** Whether calls fail before they take effect. */
  isDown: boolean;
  /** Number of next transactions that take effect although their response is lost. */
  responsesToLose: number;
}

/** One process of the fleet, without sockets. */
export interface ConfigNode {
  readonly vm: string;
  readonly storeFaults: StoreFaults;
  controller: ConfigController;
  isRunning: boolean;
}

/** Configuration controllers that call each other directly; each link between two can be cut. */
export interface ConfigFleet {
  readonly clock: ManualClock;
  readonly tables: Tables;
  readonly nodes: readonly ConfigNode[];
  /** Calls between processes so far, and the bytes of their parameters and results. */
  readonly traffic: { messages: number; bytes: number };
  /** Cuts or restores the link between two VMs, in both directions. */
  setCut(a: string, b: string, isCut: boolean): void;
  /** Sets the VM list that all nodes see. */
  setVmList(vms: readonly Vm[]): void;
  /** Replaces the node's controller by a new one without state. */
  restart(node: ConfigNode): void;
}

/** Creates a VM for the list; by its name, it runs an entry or a sidecar. */
export const newTestVm = (vm: string, failureDomain: string): Vm => ({
  vm,
  address: vm,
  role: vm.startsWith('entry') ? 'entry' : 'sidecar',
  failureDomain,
  state: 'live',
});

const newStoreClient = (tables: Tables, faults: StoreFaults): TableService => {
  const run = async <T>(action: () => T) =>
    faults.isDown ? newFailure({ kind: 'unavailable', detail: 'down' } as const) : newOk(action());
  return {
    get: (table, key) => run(() => tables.get(table, key)),
    scan: (table, range) => run(() => tables.scan(table, range)),
    transact: async (transaction) => {
      const committed = await run(() => tables.transact(transaction));
      if (!committed.ok || faults.responsesToLose === 0) return committed;
      // eslint-disable-next-line no-param-reassign -- tests set the number, and each lost response decrements it
      faults.responsesToLose -= 1;
      return newFailure({ kind: 'unknown', detail: 'lost' } as const);
    },
  };
};

/** Starts a controller for each VM of the list. */
export const newConfigFleet = async (
  list: readonly Vm[],
  refreshIntervalMs = REFRESH_INTERVAL_MS,
): Promise<ConfigFleet> => {
  await loadHashing();
  const clock = new StepClock();
  const tables = newTables();
  const cuts = new Set<string>();
  const traffic = { messages: 0, bytes: 0 };
  const nodes: ConfigNode[] = [];
  const nodesByVm = new Map<string, ConfigNode>();
  let vms = list;

  const newPeers = (from: string): Pick<PeerClient, 'call'> => ({
    call: async (address: string, method: Method, params: unknown) => {
      await Promise.resolve();
      const target = nodesByVm.get(address);
      if (target?.isRunning !== true || cuts.has(`${from} ${address}`)) {
        return newFailure({ kind: 'unreachable', detail: address } as const);
      }
      const { handlers } = target.controller;
      const result =
        method === 'config.read'
          ? await handlers['config.read'](params as MethodParams<'config.read'>)
          : await handlers['config.push'](params as MethodParams<'config.push'>);
      const text = JSON.stringify(result);
      traffic.messages += 1;
      traffic.bytes += text.length + JSON.stringify(params).length;
      return newOk(JSON.parse(text) as never);
    },
  });
  const newController = (vm: Vm, storeFaults: StoreFaults): ConfigController =>
    newConfigController({
      self: { vm: vm.vm, failureDomain: vm.failureDomain, role: vm.role, address: vm.address },
      peers: newPeers(vm.vm),
      seeds: [],
      tables: newStoreClient(tables, storeFaults),
      getVms: () => vms,
      getLiveMembers: () => [],
      refreshIntervalMs,
      clock,
      random: newSeededRandom(getHash(vm.vm)),
      log: newSilentLogger(),
    });
  list.forEach((vm) => {
    const storeFaults: StoreFaults = { isDown: false, responsesToLose: 0 };
    const node = {
      vm: vm.vm,
      storeFaults,
      controller: newController(vm, storeFaults),
      isRunning: true,
    };
    nodes.push(node);
    nodesByVm.set(node.vm, node);
  });

  return {
    clock,
    tables,
    nodes,
    traffic,
    setCut: (a, b, isCut) =>
      [`${a} ${b}`, `${b} ${a}`].forEach((link) => (isCut ? cuts.add(link) : cuts.delete(link))),
    setVmList: (newVms) => {
      vms = newVms;
    },
    restart: (node) => {
      const vm = list.find(({ vm: name }) => name === node.vm);
      if (vm === undefined) return;
      // eslint-disable-next-line no-param-reassign -- a new process on the same VM
      node.controller = newController(vm, node.storeFaults);
    },
  };
};
