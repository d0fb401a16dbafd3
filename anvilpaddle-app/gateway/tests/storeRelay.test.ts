import {
  listen,
  ManualClock,
  newFailure,
  newOk,
  newSilentLogger,
  type Address,
  type Result,
} from '@anvilpaddle/common';
import type { Answer, HttpClient, PlatformError } from '@anvilpaddle/platform';
import { createServer, type Server } from 'node:http';
import { newRelayedClient, serveStoreRelay } from '../storeRelay';

type Reply = Result<Answer, PlatformError>;

const ANSWER: Reply = newOk({ status: 200, body: Buffer.from('rows') });
const UNAVAILABLE: Reply = newFailure({ kind: 'unavailable', detail: 'turned away' });
const UNKNOWN: Reply = newFailure({ kind: 'unknown', detail: 'no answer' });
const LIMITED: Reply = newFailure({ kind: 'limited', retryAfterMs: 1000 });

/** Client that gives one reply to all calls and counts them. */
const newClient = (reply: Reply) => {
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

const relays: Server[] = [];

afterEach(() => {
  relays.splice(0).forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
});

const serve = async (address: Address, client: HttpClient): Promise<void> => {
  relays.push(await serveStoreRelay(address, client, newSilentLogger()));
};

const getFreeAddress = async (): Promise<Address> => {
  const server = createServer();
  const address = await listen(server, { host: '127.0.0.1', port: 0 });
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return address;
};

const newRelayed = (direct: HttpClient, peers: readonly Address[]) =>
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
    // The call may have been done: only its caller can tell whether to repeat it.
    ['POST', UNKNOWN, false],
  ] as const)(
    'a %s that failed goes there only if it may be repeated',
    async (method, failure, isRelayed) => {
      const address = await getFreeAddress();
      const peer = newClient(ANSWER);
      await serve(address, peer.client);
      const relayed = newRelayed(newClient(failure).client, [address]);
      const reply = await relayed.call(method, '/rows', Buffer.from('body'));

      expect(reply.ok).toBe(isRelayed);
      expect(peer.calls).toEqual(isRelayed ? [`${method} /rows`] : []);
    },
  );

  it('keeps the status and the bytes of the answer', async () => {
    const address = await getFreeAddress();
    const conflict = newClient(newOk({ status: 412, body: Buffer.from([0, 255, 1]) }));
    await serve(address, conflict.client);
    const reply = await newRelayed(newClient(UNAVAILABLE).client, [address]).call('GET', '/rows');

    expect(reply).toEqual(newOk({ status: 412, body: Buffer.from([0, 255, 1]) }));
  });

  it('gives the failure back when there is no peer or the peer fails too', async () => {
    const address = await getFreeAddress();
    await serve(address, newClient(UNAVAILABLE).client);

    expect(await newRelayed(newClient(LIMITED).client, []).call('GET', '/rows')).toEqual(LIMITED);
    expect(await newRelayed(newClient(LIMITED).client, [address]).call('GET', '/rows')).toEqual(
      UNAVAILABLE,
    );
  });
});
