import { createServer, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  FirstComeScheduler,
  getEffectiveSettings,
  PowerOfTwoChoicesRouter,
  newAttemptLedger,
} from '@anvilpaddle/decisions';
import {
  formatAddress,
  listen,
  newId,
  newMetrics,
  newSilentLogger,
  SystemClock,
  type Random,
} from '@anvilpaddle/common';
import {
  HEADER,
  parseAttemptHeader,
  type Attempt,
  type LevelSettings,
  type Member,
  type Route,
} from '@anvilpaddle/protocol';
import { newAttemptClient, type AttemptReply } from '../../entry/attemptClient';
import { runFilters } from '../../entry/runFilters';
import type { EntryDependencies, Exchange } from '../../entry/types';
import { newRequestLogFilter } from '../../entry/filters/requestLog';
import { newForwardFilter } from '../../entry/filters/forward';
import { newReadRequestFilter } from '../../entry/filters/readRequest';
import { newPeerClient } from '../../peers/peerClient';
import { newPeerServer } from '../../peers/peerServer';
import { newAttemptServer } from '../../sidecar/attemptServer';
import { newUpstreamClient } from '../../sidecar/upstreamClient';
import { newUpstreamDispatcher } from '../../sidecar/upstreamDispatcher';

export const HARNESS_SECRET = 'secret-of-the-attempt-bench';
const ANY = { host: '127.0.0.1', port: 0 } as const;
const PEER_TIMEOUT_MS = 1000;
const CALLER_IDLE_MS = 60_000;
const clock = new SystemClock();
const log = newSilentLogger();

/** What the network does to one attempt, and to the question about it. */
export interface NetworkFaults {
  /**
   * `duplicate`: a second copy comes late. `late`: the connection is lost, the attempt arrives
   * afterwards. `never`: the connection is lost, nothing arrives. `unheard`: the attempt arrives,
   * its answer is lost.
   */
  readonly attempt: 'fair' | 'duplicate' | 'late' | 'never' | 'unheard';
  readonly delayMs: number;
  readonly revocation: 'fair' | 'lost' | 'late';
  /** Whether the sidecar is replaced while the attempt is on its way. */
  readonly restart: boolean;
}

export const NO_NETWORK_FAULTS: NetworkFaults = {
  attempt: 'fair',
  delayMs: 0,
  revocation: 'fair',
  restart: false,
};

/** Sidecar in the test's process; it can be replaced as by a kill and a new start. */
export interface TestSidecar {
  member(): Member;
  /** Tokens that the scheduler was told of, by attempt. */
  readonly usedTokens: ReadonlyMap<string, number>;
  /** Acts once when the attempt arrives for the first time. */
  onArrival(attempt: string, act: () => void): void;
  /** Ends the incarnation with all of its connections and begins another. */
  restart(): Promise<void>;
  close(): Promise<void>;
}

const newIncarnation = (url: string, slots: number, usedTokens: Map<string, number>) => {
  const incarnation = newId('inc');
  const client = newUpstreamClient(url, slots);
  const task = newUpstreamDispatcher(new FirstComeScheduler(slots), clock, log);
  const finish: typeof task.finish = (id, tokens) => {
    usedTokens.set(id, tokens);
    task.finish(id, tokens);
  };
  const server = newAttemptServer({
    incarnation,
    client,
    dispatcher: { ...task, finish },
    ledger: newAttemptLedger({ retentionMs: 60_000, maxRecords: 10_000, maxSenders: 10 }),
    clock,
    log,
    isStopping: () => false,
    getWeight: () => 1,
  });
  return { incarnation, client, task, server, responses: new Set<ServerResponse>() };
};

/** Starts a sidecar's attempt server in front of an upstream. */
export const newTestSidecar = async (
  vm: string,
  url: string,
  slots: number,
  models: readonly string[] = [],
): Promise<TestSidecar> => {
  const usedTokens = new Map<string, number>();
  const arrivals = new Map<string, () => void>();
  let current = newIncarnation(url, slots, usedTokens);
  const peers = await newPeerServer(
    ANY,
    [HARNESS_SECRET],
    { 'attempt.revoke': (revocation) => current.server.revoke(revocation) },
    {
      '/attempts': (request, response) => {
        const id = parseAttemptHeader(request.headers[HEADER.attempt])?.attempt ?? '';
        const act = arrivals.get(id);
        arrivals.delete(id);
        act?.();
        const { responses, server } = current;
        responses.add(response);
        response.on('close', () => responses.delete(response));
        server.serve(request, response);
      },
    },
    log,
  );
  const end = async (ended: typeof current): Promise<void> => {
    ended.responses.forEach((response) => response.socket?.destroy());
    await ended.client.close();
    await ended.task.close();
  };
  return {
    usedTokens,
    onArrival: (attempt, act) => {
      arrivals.set(attempt, act);
    },
    member: () => ({
      vm,
      address: formatAddress(peers.address),
      role: 'sidecar',
      failureDomain: 'fd',
      incarnation: current.incarnation,
      leaving: false,
      group: 'group',
      models: [...models],
      load: current.task.load(),
      revision: 1,
    }),
    restart: async () => {
      const ended = current;
      current = newIncarnation(url, slots, usedTokens);
      await end(ended);
    },
    close: async () => {
      await end(current);
      await peers.close();
    },
  };
};

/** Entry's part that forwards requests, in the test's process. */
export interface TestEntry {
  readonly url: string;
  close(): Promise<void>;
}

/** How a bench entry behaves. */
export interface TestEntryOptions {
  readonly route: Pick<Route, 'kind'>;
  /** Settings of one request. */
  readonly getSettings?: (path: string) => LevelSettings;
  readonly getNetworkFaults?: (path: string) => NetworkFaults;
  readonly random: Random;
}

const LOST: AttemptReply = { kind: 'lost', detail: 'the weather' };

/** Starts an entry in front of the sidecars. */
export const newTestEntry = async (
  sidecars: readonly TestSidecar[],
  shape: TestEntryOptions,
): Promise<TestEntry> => {
  const client = newAttemptClient(HARNESS_SECRET);
  const peers = newPeerClient(HARNESS_SECRET, PEER_TIMEOUT_MS, clock);
  const weathers = new Map<string, NetworkFaults>();
  const lateCopies: Promise<unknown>[] = [];
  const getWeather = (path: string): NetworkFaults =>
    shape.getNetworkFaults?.(path) ?? NO_NETWORK_FAULTS;

  const sendLate = (member: Member, attempt: Attempt, body: Buffer, lateMs: number): void => {
    const copy = sleep(lateMs)
      .then(() => client.send(member, attempt, body, new AbortController().signal))
      .then((reply) => {
        if (reply.kind === 'answer') reply.body.on('error', () => undefined).destroy();
      });
    lateCopies.push(copy);
  };

  const send: EntryDependencies['attempts']['send'] = async (member, attempt, body, signal) => {
    const weather = getWeather(attempt.path);
    weathers.set(attempt.attempt, weather);
    const sidecar = sidecars.find((candidate) => candidate.member().vm === member.vm);
    if (weather.restart) void sleep(weather.delayMs).then(() => sidecar?.restart());
    if (weather.attempt === 'never') return LOST;
    if (weather.attempt === 'late') {
      sendLate(member, attempt, body, weather.delayMs);
      return LOST;
    }
    // A network can deliver twice only what it has delivered once.
    if (weather.attempt === 'duplicate') {
      sidecar?.onArrival(attempt.attempt, () => sendLate(member, attempt, body, weather.delayMs));
    }
    const reply = await client.send(member, attempt, body, signal);
    if (weather.attempt !== 'unheard') return reply;
    if (reply.kind === 'answer') reply.body.on('error', () => undefined).destroy();
    return LOST;
  };

  const revoke: EntryDependencies['revokeAttempt'] = async (address, revocation) => {
    const weather = weathers.get(revocation.attempt) ?? NO_NETWORK_FAULTS;
    if (weather.revocation === 'late') await sleep(weather.delayMs);
    const revoked = await peers.call(address, 'attempt.revoke', revocation);
    if (weather.revocation === 'lost' || !revoked.ok) return undefined;
    return revoked.value.state;
  };

  const services = {
    vm: 'entry-1',
    incarnation: newId('inc'),
    failureDomain: 'fd',
    members: {
      live: () => sidecars.map((sidecar) => sidecar.member()),
      hearLoad: () => undefined,
    },
    attempts: { send, close: () => client.close() },
    revoke,
    router: new PowerOfTwoChoicesRouter(shape.random),
    metrics: newMetrics(undefined),
    clock,
    log,
  } as unknown as EntryDependencies;
  const filters = [
    newRequestLogFilter(services),
    newReadRequestFilter(),
    newForwardFilter(services),
  ];

  const server = createServer((request, response) => {
    const abort = new AbortController();
    response.on('close', () => abort.abort());
    const url = new URL(request.url ?? '/', 'http://entry');
    const levels = new Map([['fleet', shape.getSettings?.(url.pathname) ?? {}]]);
    const exchange = {
      id: newId('req'),
      request,
      response,
      url,
      startedMs: clock.monotonic(),
      signal: abort.signal,
      outcome: { upstream: undefined, attempts: 0, run: 'not_run', firstTokenMs: undefined },
      settings: getEffectiveSettings(levels, {}),
      route: {
        name: 'route',
        path: '/',
        access: 'keyed',
        group: 'group',
        idempotentMethods: ['GET'],
        ...shape.route,
      },
      team: 'team',
    } as unknown as Exchange;
    void runFilters(filters, exchange);
  });
  // A connection that ends idle, as the caller uses it again, is no fault that is tried here.
  server.keepAliveTimeout = CALLER_IDLE_MS;
  const address = await listen(server, ANY);
  return {
    url: `http://${formatAddress(address)}`,
    close: async () => {
      await Promise.all(lateCopies);
      server.closeAllConnections();
      server.close();
      await Promise.all([client.close(), peers.close()]);
    },
  };
};
