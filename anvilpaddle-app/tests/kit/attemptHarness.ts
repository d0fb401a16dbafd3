/** Attempts between entries and sidecars in one process, over a network with faults. */
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
  newByteBudget,
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

/** Secret that the test's processes share. */
export const HARNESS_SECRET = 'secret-of-the-attempt-bench';
const ANY_PORT = { host: '127.0.0.1', port: 0 } as const;
const PEER_TIMEOUT_MS = 1000;
const CALLER_IDLE_TIMEOUT_MS = 60_000;
const clock = new SystemClock();
const log = newSilentLogger();

/** What the network does to one attempt and to its revocation. */
export interface NetworkFaults {
  /**
   * `fair`: no fault. `duplicate`: the attempt is delivered a second time after the delay. `late`:
   * the connection is lost and the attempt arrives after the delay. `never`: the connection is lost
   * and nothing arrives. `unheard`: the attempt arrives and its response is lost.
   */
  readonly attempt: 'fair' | 'duplicate' | 'late' | 'never' | 'unheard';
  /** Delay of late deliveries, of late revocations and of a restart. */
  readonly delayMs: number;
  /** `lost`: the response to the revocation is lost. `late`: it is sent after the delay. */
  readonly revocation: 'fair' | 'lost' | 'late';
  /** Whether the sidecar is replaced after the delay. */
  readonly restart: boolean;
}

/** A network that delivers everything once and at once. */
export const NO_NETWORK_FAULTS: NetworkFaults = {
  attempt: 'fair',
  delayMs: 0,
  revocation: 'fair',
  restart: false,
};

/** Attempt server of a sidecar in the test's process, with a restart as after a kill. */
export interface TestSidecar {
  /** What the sidecar reports to other processes. */
  member(): Member;
  /** Tokens reported to the dispatcher, by attempt. */
  readonly usedTokens: ReadonlyMap<string, number>;
  /** Calls `act` when the attempt arrives for the first time. */
  onArrival(attempt: string, act: () => void): void;
  /** Ends the incarnation with all its connections and starts another. */
  restart(): Promise<void>;
  close(): Promise<void>;
}

const newSidecarIncarnation = (url: string, slots: number, usedTokens: Map<string, number>) => {
  const incarnation = newId('inc');
  const client = newUpstreamClient(url, slots);
  const dispatcher = newUpstreamDispatcher(new FirstComeScheduler(slots), clock, log);
  const finish: typeof dispatcher.finish = (id, tokens) => {
    usedTokens.set(id, tokens);
    dispatcher.finish(id, tokens);
  };
  const server = newAttemptServer({
    incarnation,
    client,
    dispatcher: { ...dispatcher, finish },
    ledger: newAttemptLedger({ retentionMs: 60_000, maxRecords: 10_000, maxSenders: 10 }),
    clock,
    log,
    isStopping: () => false,
    getWeight: () => 1,
  });
  return { incarnation, client, dispatcher, server, responses: new Set<ServerResponse>() };
};

/** Starts the attempt server of a sidecar in front of an upstream. */
export const newTestSidecar = async (
  vm: string,
  url: string,
  slots: number,
  models: readonly string[] = [],
): Promise<TestSidecar> => {
  const usedTokens = new Map<string, number>();
  const arrivals = new Map<string, () => void>();
  let current = newSidecarIncarnation(url, slots, usedTokens);
  const peers = await newPeerServer(
    ANY_PORT,
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
  const end = async (previous: typeof current): Promise<void> => {
    previous.responses.forEach((response) => response.socket?.destroy());
    await previous.client.close();
    await previous.dispatcher.close();
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
      load: current.dispatcher.load(),
      revision: 1,
    }),
    restart: async () => {
      const previous = current;
      current = newSidecarIncarnation(url, slots, usedTokens);
      await end(previous);
    },
    close: async () => {
      await end(current);
      await peers.close();
    },
  };
};

/** Entry process reduced to forwarding requests, in the test's process. */
export interface TestEntry {
  readonly url: string;
  close(): Promise<void>;
}

/** Route, settings and network of a test entry. */
export interface TestEntryOptions {
  readonly route: Pick<Route, 'kind'>;
  /** Settings of a request, by its path. */
  readonly getSettings?: (path: string) => LevelSettings;
  /** Faults of a request's attempts, by its path. */
  readonly getNetworkFaults?: (path: string) => NetworkFaults;
  /** Bytes of requests and responses that the entry holds at a moment, at most; no bound by default. */
  readonly maxHeldBytes?: number;
  readonly random: Random;
}

const LOST: AttemptReply = { kind: 'lost', detail: 'injected network fault' };

/** Starts a test entry in front of the sidecars. */
export const newTestEntry = async (
  sidecars: readonly TestSidecar[],
  options: TestEntryOptions,
): Promise<TestEntry> => {
  const client = newAttemptClient(HARNESS_SECRET);
  const peers = newPeerClient(HARNESS_SECRET, PEER_TIMEOUT_MS, clock);
  const faultsByAttempt = new Map<string, NetworkFaults>();
  const lateCopies: Promise<unknown>[] = [];
  const getNetworkFaults = (path: string): NetworkFaults =>
    options.getNetworkFaults?.(path) ?? NO_NETWORK_FAULTS;

  const sendLate = (member: Member, attempt: Attempt, body: Buffer, lateMs: number): void => {
    const copy = sleep(lateMs)
      .then(() => client.send(member, attempt, body, new AbortController().signal))
      .then((reply) => {
        if (reply.kind === 'answer') reply.body.on('error', () => undefined).destroy();
      });
    lateCopies.push(copy);
  };

  const send: EntryDependencies['attempts']['send'] = async (member, attempt, body, signal) => {
    const faults = getNetworkFaults(attempt.path);
    faultsByAttempt.set(attempt.attempt, faults);
    const sidecar = sidecars.find((candidate) => candidate.member().vm === member.vm);
    if (faults.restart) void sleep(faults.delayMs).then(() => sidecar?.restart());
    if (faults.attempt === 'never') return LOST;
    if (faults.attempt === 'late') {
      sendLate(member, attempt, body, faults.delayMs);
      return LOST;
    }
    // The second delivery follows the first, as in a real network.
    if (faults.attempt === 'duplicate') {
      sidecar?.onArrival(attempt.attempt, () => sendLate(member, attempt, body, faults.delayMs));
    }
    const reply = await client.send(member, attempt, body, signal);
    if (faults.attempt !== 'unheard') return reply;
    if (reply.kind === 'answer') reply.body.on('error', () => undefined).destroy();
    return LOST;
  };

  const revoke: EntryDependencies['revokeAttempt'] = async (address, revocation) => {
    const faults = faultsByAttempt.get(revocation.attempt) ?? NO_NETWORK_FAULTS;
    if (faults.revocation === 'late') await sleep(faults.delayMs);
    const revoked = await peers.call(address, 'attempt.revoke', revocation);
    if (faults.revocation === 'lost' || !revoked.ok) return undefined;
    return revoked.value.state;
  };

  const services = {
    vm: 'entry-1',
    incarnation: newId('inc'),
    failureDomain: 'fd',
    members: {
      live: () => sidecars.map((sidecar) => sidecar.member()),
      updateLoad: () => undefined,
    },
    attempts: { send, close: () => client.close() },
    revokeAttempt: revoke,
    router: new PowerOfTwoChoicesRouter(options.random),
    metrics: newMetrics(undefined),
    clock,
    log,
  } as unknown as EntryDependencies;
  const filters = [
    newRequestLogFilter(services),
    newReadRequestFilter(),
    newForwardFilter(services),
  ];

  const byteBudget = newByteBudget(options.maxHeldBytes ?? Infinity);
  const server = createServer((request, response) => {
    const abort = new AbortController();
    response.on('close', () => abort.abort());
    const url = new URL(request.url ?? '/', 'http://entry');
    const levels = new Map([['fleet', options.getSettings?.(url.pathname) ?? {}]]);
    const exchange = {
      id: newId('req'),
      request,
      response,
      url,
      startedMs: clock.monotonic(),
      signal: abort.signal,
      byteBudget,
      outcome: { upstream: undefined, attempts: 0, run: 'not_run', firstTokenMs: undefined },
      settings: getEffectiveSettings(levels, {}),
      route: {
        name: 'route',
        path: '/',
        access: 'keyed',
        group: 'group',
        idempotentMethods: ['GET'],
        ...options.route,
      },
      team: 'team',
    } as unknown as Exchange;
    void runFilters(filters, exchange);
  });
  // Closing idle connections while the caller reuses them is a fault that these tests leave out.
  server.keepAliveTimeout = CALLER_IDLE_TIMEOUT_MS;
  const address = await listen(server, ANY_PORT);
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
