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
import { newInMemoryTables, type InMemoryTables } from '@anvilpaddle/standins';
import type { LimitController, LimitControllerParts } from '../../controllers/limitController';
import type { PeerError } from '../../peers/errors';
import { newFakeProcess, type FakeProcess } from './fakeProcess';

type Controller = Pick<LimitController, 'start' | 'admit' | 'close' | 'handlers' | 'tokens'>;

/** Builds the controller under test, or a naive one in its place. */
export type ControllerFactory = (parts: LimitControllerParts) => Controller;

/** One request and what became of it; times are true milliseconds. */
export interface Decision {
  readonly team: string;
  readonly entry: string;
  readonly arrivedMs: number;
  readonly decidedMs: number;
  readonly admission: Admission;
}

/** What the network and the platform do wrong. */
export interface Weather {
  /** Part of the messages that get lost, each way. */
  loss: number;
  /** Part of the messages that are delivered twice, the second time late. */
  duplicates: number;
  /** Longest delay of a message one way. */
  delayMs: number;
  isStoreDown: boolean;
  /** Part of the store's writes whose answer gets lost. */
  lostAnswers: number;
}

interface FakeEntry {
  readonly address: string;
  process: FakeProcess;
  controller: Controller;
}

/** Entries with real controllers on a fake network, clock and platform. */
export interface LimitFleet {
  readonly world: ManualClock;
  readonly weather: Weather;
  readonly tables: InMemoryTables;
  readonly decisions: Decision[];
  readonly traffic: { messages: number; bytes: number };
  /** Platform's list of VMs; tests keep it late on purpose. */
  readonly listed: Set<string>;
  /** Rate that an entry has in force; the same for all unless a test says otherwise. */
  readonly rates: Map<string, RateLimit>;
  addresses(): string[];
  isUp(address: string): boolean;
  isRunning(address: string): boolean;
  add(): string;
  kill(address: string): void;
  restart(address: string): void;
  pause(address: string): void;
  resume(address: string): void;
  stop(address: string): Promise<void>;
  setStoreDown(isDown: boolean): void;
  /** The list that a reader gets is so late that it does not name an entry; undone by `showAll`. */
  hide(reader: string, address: string): void;
  showAll(): void;
  cut(a: string, b: string): void;
  healCuts(): void;
  request(address: string, team: string): void;
  /** Tokens of a team at all entries that have not ended. */
  tokens(team: string): number;
  /** Runs after each small step of time. */
  onStep: () => void;
  /** Moves time on in small steps and lets every reaction come to its end. */
  advance(durationMs: number): Promise<void>;
}

/** What a fleet starts as. */
export interface LimitFleetShape {
  readonly entries: number;
  readonly seed: number;
  readonly rate: RateLimit;
  readonly newController: ControllerFactory;
  /** Slowest clock; 1 for clocks that run true. */
  readonly slowestClock?: number;
  readonly stepMs?: number;
}

const TICK_MS = 500;
const CALL_TIMEOUT_MS = 1000;
const LATE_COPY_MS = 3000;
const STORE_DELAY_MS = 4;
/** Bytes of HTTP and JSON-RPC around a message and its answer. */
const ENVELOPE_BYTES = 380;
const SILENT = new Proxy({} as Logger, { get: () => () => undefined });

/** Fleet whose faults are drawn from a seed. */
export const newLimitFleet = (shape: LimitFleetShape): LimitFleet => {
  const world = new ManualClock();
  const random = newSeededRandom(shape.seed);
  const stepMs = shape.stepMs ?? 2;
  const weather: Weather = {
    loss: 0,
    duplicates: 0,
    delayMs: 2,
    isStoreDown: false,
    lostAnswers: 0,
  };
  const tables = newInMemoryTables();
  const entries = new Map<string, FakeEntry>();
  const decisions: Decision[] = [];
  const traffic = { messages: 0, bytes: 0 };
  const listed = new Set<string>();
  const rates = new Map<string, RateLimit>();
  const cuts = new Set<string>();
  const hidden = new Set<string>();
  let lives = 0;

  const isCut = (a: string, b: string): boolean => cuts.has(`${a} ${b}`) || cuts.has(`${b} ${a}`);
  const getDelayMs = (): number => 0.2 + random() * weather.delayMs;
  const isLost = (a: string, b: string): boolean => isCut(a, b) || random() < weather.loss;

  /** A call of the platform by a process. */
  const callStore = <T>(
    process: FakeProcess,
    run: () => T,
    isWrite: boolean,
  ): Promise<Result<T, PlatformError>> =>
    new Promise((resolve) => {
      const answer = (result: Result<T, PlatformError>): void => {
        world.after(STORE_DELAY_MS * (0.5 + random()), () => process.run(() => resolve(result)));
      };
      world.after(STORE_DELAY_MS * (0.5 + random()), () => {
        if (weather.isStoreDown) answer(newFailure({ kind: 'unavailable', detail: 'down' }));
        else {
          const value = run();
          const isAnswerLost = isWrite && random() < weather.lostAnswers;
          answer(isAnswerLost ? newFailure({ kind: 'unknown', detail: 'lost' }) : newOk(value));
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
            // eslint-disable-next-line @typescript-eslint/no-use-before-define -- set before any answer
            timeout.cancel();
            resolve(result);
          });
        const timeout = world.after(CALL_TIMEOUT_MS, () =>
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
            void Promise.resolve(handlers[method]?.(params)).then((answer) => {
              traffic.bytes += JSON.stringify(answer ?? {}).length;
              if (isLost(from, to)) return;
              world.after(getDelayMs(), () => settle(newOk(answer)));
            });
          });
        };
        if (!isLost(from, to)) world.after(getDelayMs(), deliver);
        if (random() < weather.duplicates) world.after(random() * LATE_COPY_MS, deliver);
      });

  const start = (address: string): void => {
    const slowest = shape.slowestClock ?? 1;
    const process = newFakeProcess(world, slowest + (1 - slowest) * random());
    lives += 1;
    const controller = shape.newController({
      address,
      lifeId: `life-${lives}`,
      tables: newFakeTables(process),
      vms: newFakeVms(address, process),
      peers: { call: newCall(address, process) as LimitControllerParts['peers']['call'] },
      getRate: () => rates.get(address) ?? shape.rate,
      liveEntries: () =>
        [...entries.values()]
          .filter((other) => other.address !== address && other.process.isRunning())
          .map((other) => other.address),
      clock: process.clock,
      tickMs: TICK_MS,
      log: SILENT,
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

  for (let index = 0; index < shape.entries; index += 1) add();

  const stopping = new Set<string>();
  const isUp = (address: string): boolean => entries.get(address)?.process.isEnded() === false;

  const fleet: LimitFleet = {
    world,
    weather,
    tables,
    decisions,
    traffic,
    listed,
    rates,
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
      weather.isStoreDown = isDown;
    },
    hide: (reader, address) => hidden.add(`${reader} ${address}`),
    showAll: () => hidden.clear(),
    cut: (a, b) => cuts.add(`${a} ${b}`),
    healCuts: () => cuts.clear(),
    request: (address, team) => {
      const entry = entries.get(address);
      if (entry === undefined || !entry.process.isRunning()) return;
      const arrivedMs = world.monotonic();
      void entry.controller.admit(team).then((admission) => {
        const decidedMs = world.monotonic();
        decisions.push({ team, entry: address, arrivedMs, decidedMs, admission });
      });
    },
    tokens: (team) =>
      [...entries.values()]
        .filter(({ process }) => !process.isEnded())
        .reduce((sum, { controller }) => sum + controller.tokens(team), 0),
    onStep: () => undefined,
    advance: async (durationMs) => {
      const endMs = world.monotonic() + durationMs;
      while (world.monotonic() < endMs) {
        world.advance(Math.min(stepMs, endMs - world.monotonic()));
        await nextTurn();
        await nextTurn();
        fleet.onStep();
      }
    },
  };
  return fleet;
};

/** Most requests by which the admitted of any window exceeded burst + rate x window. */
export const getOverAdmission = (
  decisions: readonly Decision[],
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
