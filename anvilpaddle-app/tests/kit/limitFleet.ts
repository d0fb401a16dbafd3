/** Limit controllers of several entries on a simulated network, with faults drawn from a seed. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import {
  ManualClock,
  newFailure,
  newOk,
  newSeededRandom,
  type Logger,
  type Result,
} from '@anvilpaddle/common';
import type { Admission, RateLimit } from '@anvilpaddle/decisions';
import type { PlatformError, TableService, Vm, VmList } from '@anvilpaddle/platform';
import { newTables, type Tables } from '@anvilpaddle/standins';
import type {
  LimitController,
  LimitControllerDependencies,
} from '../../controllers/limitController';
import type { PeerError } from '../../peers/peerError';
import { newFakeProcess, type FakeProcess } from './fakeProcess';

type Controller = Pick<LimitController, 'start' | 'admit' | 'close' | 'handlers' | 'tokens'>;

/** Creates the controller under test, or a simpler one to compare it with. */
export type ControllerFactory = (parts: LimitControllerDependencies) => Controller;

/** One request and its decision; times are milliseconds of the reference clock. */
export interface AdmissionRecord {
  readonly team: string;
  readonly entry: string;
  readonly arrivedMs: number;
  readonly decidedMs: number;
  readonly admission: Admission;
}

/** Faults of the network and the platform; tests change them while the fleet runs. */
export interface InjectedFaults {
  /** Fraction of the messages that are lost, in each direction. */
  lossRate: number;
  /** Fraction of the messages that are delivered a second time, late. */
  duplicateRate: number;
  /** Maximum delay of a message in one direction. */
  maxDelayMs: number;
  isStoreDown: boolean;
  /** Fraction of the writes to the store that take effect although the response is lost. */
  lostResponseRate: number;
}

interface FakeEntry {
  readonly address: string;
  process: FakeProcess;
  controller: Controller;
}

/** Entries with real controllers on a simulated network, clock and platform. */
export interface LimitFleet {
  /** True time; the clocks of the processes can run slower. */
  readonly referenceClock: ManualClock;
  readonly faults: InjectedFaults;
  readonly tables: Tables;
  /** Decided requests, in the order of their decisions. */
  readonly decisions: AdmissionRecord[];
  readonly traffic: { messages: number; bytes: number };
  /** Addresses in the VM list of the platform; tests also leave it outdated on purpose. */
  readonly listed: Set<string>;
  /** Rate limits of single entries in place of the common one. */
  readonly rateLimits: Map<string, RateLimit>;
  addresses(): string[];
  /** Whether the process of an entry exists, even if it is paused. */
  isUp(address: string): boolean;
  /** Whether an entry takes requests: it is neither paused nor stopping. */
  isRunning(address: string): boolean;
  /** Starts one more entry; returns its address. */
  add(): string;
  /** Ends the process of an entry without a planned stop. */
  kill(address: string): void;
  restart(address: string): void;
  pause(address: string): void;
  resume(address: string): void;
  /** Stops an entry as planned: its controller is closed first. */
  stop(address: string): Promise<void>;
  setStoreDown(isDown: boolean): void;
  /** Omits an entry from the VM list that `reader` gets, as an outdated list would. */
  hideFromList(reader: string, address: string): void;
  /** Ends the effect of `hideFromList`. */
  showAllInLists(): void;
  cutLink(a: string, b: string): void;
  restoreLinks(): void;
  /** Sends a request of a team to an entry. */
  request(address: string, team: string): void;
  /** Tokens of a team at all entries whose process exists. */
  tokens(team: string): number;
  /** Called after each step of `advance`. */
  onStep: () => void;
  /** Advances the time in small steps; pending promises are settled in each step. */
  advance(durationMs: number): Promise<void>;
}

/** Options of a new fleet. */
export interface LimitFleetOptions {
  /** Number of entries at the start. */
  readonly entries: number;
  readonly seed: number;
  readonly rate: RateLimit;
  readonly newController: ControllerFactory;
  /** Minimum speed of the processes' clocks; 1 for exact clocks. */
  readonly minClockSpeed?: number;
  readonly stepMs?: number;
}

const TICK_MS = 500;
const CALL_TIMEOUT_MS = 1000;
/** Maximum delay of a duplicate message. */
const LATE_COPY_MS = 3000;
const STORE_DELAY_MS = 4;
/** Bytes of HTTP and JSON-RPC around a message and its response. */
const ENVELOPE_BYTES = 380;
const SILENT_LOGGER = new Proxy({} as Logger, { get: () => () => undefined });

/** Creates a fleet whose random faults and delays are determined by the seed. */
export const newLimitFleet = (options: LimitFleetOptions): LimitFleet => {
  const referenceClock = new ManualClock();
  const random = newSeededRandom(options.seed);
  const stepMs = options.stepMs ?? 2;
  const faults: InjectedFaults = {
    lossRate: 0,
    duplicateRate: 0,
    maxDelayMs: 2,
    isStoreDown: false,
    lostResponseRate: 0,
  };
  const tables = newTables();
  const entries = new Map<string, FakeEntry>();
  const decisions: AdmissionRecord[] = [];
  const traffic = { messages: 0, bytes: 0 };
  const listed = new Set<string>();
  const rateLimits = new Map<string, RateLimit>();
  const cuts = new Set<string>();
  const hidden = new Set<string>();
  let processCount = 0;

  const isCut = (a: string, b: string): boolean => cuts.has(`${a} ${b}`) || cuts.has(`${b} ${a}`);
  const getDelayMs = (): number => 0.2 + random() * faults.maxDelayMs;
  const isLost = (a: string, b: string): boolean => isCut(a, b) || random() < faults.lossRate;

  /** Calls the store or the VM list for a process, with delays and injected faults. */
  const callStore = <T>(
    process: FakeProcess,
    run: () => T,
    isWrite: boolean,
  ): Promise<Result<T, PlatformError>> =>
    new Promise((resolve) => {
      const respond = (result: Result<T, PlatformError>): void => {
        referenceClock.after(STORE_DELAY_MS * (0.5 + random()), () =>
          process.run(() => resolve(result)),
        );
      };
      referenceClock.after(STORE_DELAY_MS * (0.5 + random()), () => {
        if (faults.isStoreDown) respond(newFailure({ kind: 'unavailable', detail: 'down' }));
        else {
          const value = run();
          const isResponseLost = isWrite && random() < faults.lostResponseRate;
          respond(isResponseLost ? newFailure({ kind: 'unknown', detail: 'lost' }) : newOk(value));
        }
      });
    });

  const newFakeTables = (process: FakeProcess): TableService => ({
    get: (table, key) => callStore(process, () => tables.get(table, key), false),
    scan: (table, range) => callStore(process, () => tables.scan(table, range), false),
    transact: (transaction) => callStore(process, () => tables.transact(transaction), true),
  });

  const newFakeVms = (reader: string, process: FakeProcess): VmList => ({
    list: () =>
      callStore(
        process,
        () =>
          [...listed]
            .filter((address) => !hidden.has(`${reader} ${address}`))
            .map((address): Vm => ({
              vm: address,
              address,
              role: 'entry',
              failureDomain: 'a',
              state: 'live',
            })),
        false,
      ),
  });

  const newCall =
    (from: string, process: FakeProcess) =>
    (to: string, method: string, params: unknown): Promise<Result<unknown, PeerError>> =>
      new Promise((resolve) => {
        let isSettled = false;
        const settle = (result: Result<unknown, PeerError>): void =>
          process.run(() => {
            if (isSettled) return;
            isSettled = true;
            // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before any response
            timeout.cancel();
            resolve(result);
          });
        const timeout = referenceClock.after(CALL_TIMEOUT_MS, () =>
          settle(newFailure({ kind: 'no_answer', detail: `${method} at ${to}` })),
        );
        traffic.messages += 1;
        traffic.bytes += ENVELOPE_BYTES + JSON.stringify(params).length;
        const deliver = (): void => {
          const target = entries.get(to);
          if (target === undefined || target.process.isEnded()) {
            settle(newFailure({ kind: 'unreachable', detail: to }));
            return;
          }
          target.process.run(() => {
            const handlers = target.controller.handlers as unknown as Readonly<
              Record<string, (given: unknown) => unknown>
            >;
            void Promise.resolve(handlers[method]?.(params)).then((result) => {
              traffic.bytes += JSON.stringify(result ?? {}).length;
              if (isLost(from, to)) return;
              referenceClock.after(getDelayMs(), () => settle(newOk(result)));
            });
          });
        };
        if (!isLost(from, to)) referenceClock.after(getDelayMs(), deliver);
        if (random() < faults.duplicateRate) referenceClock.after(random() * LATE_COPY_MS, deliver);
      });

  const start = (address: string): void => {
    const minSpeed = options.minClockSpeed ?? 1;
    const process = newFakeProcess(referenceClock, minSpeed + (1 - minSpeed) * random());
    processCount += 1;
    const controller = options.newController({
      address,
      incarnation: `life-${processCount}`,
      tables: newFakeTables(process),
      vms: newFakeVms(address, process),
      peers: { call: newCall(address, process) as LimitControllerDependencies['peers']['call'] },
      getRateLimit: () => rateLimits.get(address) ?? options.rate,
      getRecentlySeenEntries: () =>
        [...entries.values()]
          .filter((other) => other.address !== address && other.process.isRunning())
          .map((other) => other.address),
      clock: process.clock,
      tickIntervalMs: TICK_MS,
      log: SILENT_LOGGER,
    });
    entries.set(address, { address, process, controller });
    controller.start();
  };

  const add = (): string => {
    const address = `entry-${entries.size + 1}:9000`;
    listed.add(address);
    start(address);
    return address;
  };

  for (let index = 0; index < options.entries; index += 1) add();

  const stopping = new Set<string>();
  const isUp = (address: string): boolean => entries.get(address)?.process.isEnded() === false;

  const fleet: LimitFleet = {
    referenceClock,
    faults,
    tables,
    decisions,
    traffic,
    listed,
    rateLimits,
    addresses: () => [...entries.keys()],
    isUp,
    isRunning: (address) =>
      entries.get(address)?.process.isRunning() === true && !stopping.has(address),
    add,
    kill: (address) => entries.get(address)?.process.end(),
    restart: (address) => {
      entries.get(address)?.process.end();
      start(address);
    },
    pause: (address) => entries.get(address)?.process.pause(),
    resume: (address) => entries.get(address)?.process.resume(),
    stop: async (address) => {
      const entry = entries.get(address);
      stopping.add(address);
      await entry?.controller.close();
      entry?.process.end();
      stopping.delete(address);
    },
    setStoreDown: (isDown) => {
      faults.isStoreDown = isDown;
    },
    hideFromList: (reader, address) => hidden.add(`${reader} ${address}`),
    showAllInLists: () => hidden.clear(),
    cutLink: (a, b) => cuts.add(`${a} ${b}`),
    restoreLinks: () => cuts.clear(),
    request: (address, team) => {
      const entry = entries.get(address);
      if (entry === undefined || !entry.process.isRunning()) return;
      const arrivedMs = referenceClock.monotonic();
      void entry.controller.admit(team).then((admission) => {
        const decidedMs = referenceClock.monotonic();
        decisions.push({ team, entry: address, arrivedMs, decidedMs, admission });
      });
    },
    tokens: (team) =>
      [...entries.values()]
        .filter(({ process }) => !process.isEnded())
        .reduce((sum, { controller }) => sum + controller.tokens(team), 0),
    onStep: () => undefined,
    advance: async (durationMs) => {
      const endMs = referenceClock.monotonic() + durationMs;
      while (referenceClock.monotonic() < endMs) {
        referenceClock.advance(Math.min(stepMs, endMs - referenceClock.monotonic()));
        await nextTurn();
        await nextTurn();
        fleet.onStep();
      }
    },
  };
  return fleet;
};

/** Maximum excess of the admitted requests over burst + rate x window, over all windows. */
export const getOverAdmission = (
  decisions: readonly AdmissionRecord[],
  { rate, burst }: RateLimit,
): number => {
  let lowest = Infinity;
  let most = 0;
  decisions
    .filter(({ admission }) => admission.admitted)
    .map(({ decidedMs }) => decidedMs)
    .sort((a, b) => a - b)
    .forEach((timeMs, index) => {
      const value = index - (rate * timeMs) / 1000;
      lowest = Math.min(lowest, value);
      most = Math.max(most, value - lowest + 1 - burst);
    });
  return most;
};
