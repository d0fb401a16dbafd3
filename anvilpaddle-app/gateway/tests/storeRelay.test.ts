import {
  BYTES_PER_MIB,
  formatAddress,
  listen,
  ManualClock,
  newByteBudget,
  newFailure,
  newOk,
  newSilentLogger,
  newStoredRooms,
  SystemClock,
  type Address,
  type Result,
} from '@anvilpaddle/common';
import type { HttpResponse, HttpClient, PlatformError } from '@anvilpaddle/platform';
import { createServer, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { newRelayedClient, serveStoreRelay } from '../storeRelay';

type StoreResult = Result<HttpResponse, PlatformError>;

const ANSWER: StoreResult = newOk({ status: 200, body: Buffer.from('rows') });
const UNAVAILABLE: StoreResult = newFailure({ kind: 'unavailable', detail: 'turned away' });
const UNKNOWN: StoreResult = newFailure({ kind: 'unknown', detail: 'no answer' });
const LIMITED: StoreResult = newFailure({ kind: 'limited', retryAfterMs: 1000 });

/** Client that returns the same result for all calls and records them. */
const newClient = (reply: StoreResult) => {
  const calls: string[] = [];
  const client: HttpClient = {
    call: (method, path) => {
      calls.push(`${method} ${path}`);
      return Promise.resolve(reply);
    },
    close: () => Promise.resolve(),
  };
  return { client, calls };
};

/** Bytes for requests and responses, of which a part as large is for what is stored. */
const MAX_HELD_BYTES = 24 * BYTES_PER_MIB;
const ROOMS = newStoredRooms(newByteBudget(MAX_HELD_BYTES), new SystemClock());

const relays: Server[] = [];

afterEach(() => {
  relays.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

const serve = async (address: Address, client: HttpClient): Promise<void> => {
  relays.push(await serveStoreRelay(address, client, ROOMS, newSilentLogger()));
};

const getFreeAddress = async (): Promise<Address> => {
  const server = createServer();
  const address = await listen(server, { host: '127.0.0.1', port: 0 });
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return address;
};

const newRelayedTestClient = (direct: HttpClient, peers: readonly Address[]) =>
  newRelayedClient(
    { direct, probePath: '/probe', getPeers: () => peers, timeoutMs: 500 },
    new ManualClock(),
    () => 0,
    newSilentLogger(),
  );

describe('store calls through a peer', () => {
  it.each([
    ['GET', UNAVAILABLE, true],
    ['GET', UNKNOWN, true],
    ['GET', LIMITED, true],
    ['POST', UNAVAILABLE, true],
    ['POST', LIMITED, true],
    // The store may have applied the call, so only the original caller can decide to repeat it.
    ['POST', UNKNOWN, false],
  ] as const)(
    'relays a failed %s only if it may be repeated',
    async (method, failure, isRelayed) => {
      const address = await getFreeAddress();
      const peer = newClient(ANSWER);
      await serve(address, peer.client);
      const relayed = newRelayedTestClient(newClient(failure).client, [address]);
      const reply = await relayed.call(method, '/rows', Buffer.from('body'));

      expect(reply.ok).toBe(isRelayed);
      expect(peer.calls).toEqual(isRelayed ? [`${method} /rows`] : []);
    },
  );

  it('keeps the status and the bytes of the response', async () => {
    const address = await getFreeAddress();
    const conflict = newClient(newOk({ status: 412, body: Buffer.from([0, 255, 1]) }));
    await serve(address, conflict.client);
    const reply = await newRelayedTestClient(newClient(UNAVAILABLE).client, [address]).call(
      'GET',
      '/rows',
    );

    expect(reply).toEqual(newOk({ status: 412, body: Buffer.from([0, 255, 1]) }));
  });

  it.each([
    ['odd', 1000],
    ['-5', 1],
    ['1e300', 60_000],
    ['', 1],
  ])('bounds the timeout that a peer asks for: %j', async (header, timeoutMs) => {
    const address = await getFreeAddress();
    const timeoutsMs: unknown[] = [];
    await serve(address, {
      call: (_, __, ___, options) => {
        timeoutsMs.push(options?.timeoutMs);
        return Promise.resolve(ANSWER);
      },
      close: () => Promise.resolve(),
    });
    const headers = { 'x-store-timeout-ms': header };
    const response = await fetch(`http://${formatAddress(address)}/rows`, { headers });

    expect(response.status).toBe(200);
    expect(timeoutsMs).toEqual([timeoutMs]);
  });

  it('returns the failure when there is no peer or the peer fails too', async () => {
    const address = await getFreeAddress();
    await serve(address, newClient(UNAVAILABLE).client);

    expect(await newRelayedTestClient(newClient(LIMITED).client, []).call('GET', '/rows')).toEqual(
      LIMITED,
    );
    expect(
      await newRelayedTestClient(newClient(LIMITED).client, [address]).call('GET', '/rows'),
    ).toEqual(UNAVAILABLE);
  });

  // Guards against what review case 10 stands for: the sum of all calls for peers was not bounded.
  it('waits for room before it reads many large responses for peers', async () => {
    const address = await getFreeAddress();
    const expectedBytes = 4 * BYTES_PER_MIB;
    let underWay = 0;
    let most = 0;
    await serve(address, {
      call: async () => {
        underWay += 1;
        most = Math.max(most, underWay);
        await sleep(20);
        underWay -= 1;
        return ANSWER;
      },
      close: () => Promise.resolve(),
    });
    const relayed = newRelayedTestClient(newClient(UNAVAILABLE).client, [address]);
    const replies = await Promise.all(
      Array.from({ length: 12 }, () => relayed.call('GET', '/rows', undefined, { expectedBytes })),
    );

    expect(replies).toEqual(replies.map(() => ANSWER));
    expect(most).toBeLessThanOrEqual(MAX_HELD_BYTES / expectedBytes / 2);
  });
});
