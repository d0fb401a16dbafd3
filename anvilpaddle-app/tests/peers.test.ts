/** Messages between processes: authentication, refusals, replays and faulty receivers. */
import { createServer } from 'node:http';
import fc from 'fast-check';
import { formatAddress, listen, newSilentLogger, SystemClock } from '@anvilpaddle/common';
import { HEADER, type Revocation } from '@anvilpaddle/protocol';
import { newPeerClient, type PeerClient } from '../peers/peerClient';
import { newPeerServer, type PeerServer } from '../peers/peerServer';
import { newReplayWindow } from '../peers/replayWindow';

const OLD_SECRET = 'the-secret-before-the-rotation';
const NEW_SECRET = 'the-secret-after-the-rotation';
const ANY_PORT = { host: '127.0.0.1', port: 0 } as const;
const TIMEOUT_MS = 500;
const REVOCATION: Revocation = { attempt: 'a', incarnation: 'i', sender: 's', sequence: 1 };
const clock = new SystemClock();

const newMessage = (params: unknown = REVOCATION, method = 'attempt.revoke'): string =>
  JSON.stringify([{ jsonrpc: '2.0', id: 1, method, params }]);

describe('messages between processes', () => {
  let server: PeerServer;
  let received: Revocation[];
  const clients: PeerClient[] = [];

  const newClient = (secret: string): PeerClient => {
    const client = newPeerClient(secret, TIMEOUT_MS, clock);
    clients.push(client);
    return client;
  };

  const call = (client: PeerClient) =>
    client.call(formatAddress(server.address), 'attempt.revoke', REVOCATION);

  const post = (body: string, exchange = 'peer.1', secret = NEW_SECRET): Promise<Response> =>
    fetch(`http://${formatAddress(server.address)}/rpc`, {
      method: 'POST',
      headers: { authorization: `Bearer ${secret}`, [HEADER.exchange]: exchange },
      body,
    });

  beforeEach(async () => {
    received = [];
    server = await newPeerServer(
      ANY_PORT,
      [OLD_SECRET, NEW_SECRET],
      {
        'attempt.revoke': (revocation) => {
          received.push(revocation);
          return { state: 'not_sent' };
        },
      },
      {},
      newSilentLogger(),
    );
  });

  afterEach(async () => {
    await Promise.all(clients.splice(0).map((client) => client.close()));
    await server.close();
  });

  it('are accepted with either secret during a rotation', async () => {
    const results = await Promise.all([OLD_SECRET, NEW_SECRET].map((s) => call(newClient(s))));

    expect(results.map(({ ok }) => ok)).toEqual([true, true]);
    expect(server.refusals).toEqual({});
  });

  it.each([
    ['another secret', newMessage(), 'peer.1', 'another-secret', 401, 'secret'],
    ['a prefix of the secret', newMessage(), 'peer.1', NEW_SECRET.slice(0, -1), 401, 'secret'],
    ['no secret', newMessage(), 'peer.1', '', 401, 'secret'],
    [
      'an oversize message',
      ' '.repeat(4 * 1024 * 1024 + 1),
      'peer.1',
      NEW_SECRET,
      413,
      'body_too_large',
    ],
    ['no JSON', '{', 'peer.1', NEW_SECRET, 400, 'malformed'],
    ['null', 'null', 'peer.1', NEW_SECRET, 400, 'malformed'],
    ['a number in the list', '[1]', 'peer.1', NEW_SECRET, 400, 'malformed'],
    ['an empty list', '[]', 'peer.1', NEW_SECRET, 400, 'malformed'],
    ['no sequence number', newMessage(), 'peer', NEW_SECRET, 400, 'malformed'],
  ])('are refused and counted: %s', async (_case, body, exchange, secret, status, reason) => {
    const response = await post(body, exchange, secret);

    expect(response.status).toBe(status);
    expect(server.refusals).toEqual({ [reason]: 1 });
    expect(received).toEqual([]);
    await expect(call(newClient(NEW_SECRET))).resolves.toMatchObject({ ok: true });
  });

  it.each([
    ['parameters that do not fit', newMessage({ attempt: 7 }), 'params'],
    ['an unknown method', newMessage({}, 'no.such'), 'method'],
  ])('are refused individually and counted: %s', async (_case, body, reason) => {
    const response = await post(body);

    expect(await response.text()).toContain('error');
    expect(server.refusals).toEqual({ [reason]: 1 });
    expect(received).toEqual([]);
  });

  it('are handled once when they are replayed', async () => {
    const statuses = [];
    for (const exchange of ['peer.1', 'peer.3', 'peer.2', 'peer.3', 'peer.1', 'other.1']) {
      statuses.push((await post(newMessage(), exchange)).status);
    }

    expect(statuses).toEqual([200, 200, 200, 409, 409, 200]);
    expect(server.refusals).toEqual({ replayed: 2 });
    expect(received).toHaveLength(4);
  });

  it.each([
    ['leaves out the response', '[]'],
    ['responds to another call', '[{"jsonrpc":"2.0","id":999,"result":{"state":"sent"}}]'],
    ['responds with something other than JSON', '<html>'],
    ['responds with an invalid result', '[{"jsonrpc":"2.0","id":1,"result":{"state":"maybe"}}]'],
  ])('fail once and within the timeout when the receiver %s', async (_case, body) => {
    const faultyServer = createServer((request, response) => {
      request.resume().on('end', () => response.end(body));
    });
    const address = formatAddress(await listen(faultyServer, ANY_PORT));
    const client = newClient(NEW_SECRET);
    const results = await Promise.all(
      [1, 2, 3].map(() => client.call(address, 'attempt.revoke', REVOCATION)),
    );
    faultyServer.closeAllConnections();
    faultyServer.close();

    expect(results.map((result) => !result.ok && result.error.kind)).toEqual(
      Array(3).fill('no_answer'),
    );
  });

  it('fail as unreachable when they were never sent', async () => {
    await server.close();

    await expect(call(newClient(NEW_SECRET))).resolves.toMatchObject({
      error: { kind: 'unreachable' },
    });
  });

  it('are distinguished from replays like by a model that stores all messages', () => {
    const width = 8;
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.integer({ min: 1, max: 40 })), {
          maxLength: 80,
          size: 'max',
        }),
        (messages) => {
          const window = newReplayWindow({ width, maxSenders: 2 });
          const highest: Record<string, number> = { a: 0, b: 0 };
          const seen = new Set<string>();
          messages.forEach(([sender, sequence]) => {
            const name = `${sender}.${sequence}`;
            const isBelowWindow = sequence <= (highest[sender] ?? 0) - width;
            const expected = !isBelowWindow && !seen.has(name);
            if (window.accept(sender, sequence) !== expected) throw new Error(name);
            seen.add(name);
            highest[sender] = Math.max(highest[sender] ?? 0, sequence);
          });
        },
      ),
      { seed: 20_264, numRuns: 500 },
    );
  });
});
