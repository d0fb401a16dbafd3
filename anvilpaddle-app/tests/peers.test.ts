import { createServer } from 'node:http';
import fc from 'fast-check';
import { formatAddress, listen, newSilentLogger, SystemClock } from '@anvilpaddle/common';
import { HEADER, type Revocation } from '@anvilpaddle/protocol';
import { newPeerClient, type PeerClient } from '../peers/peerClient';
import { newPeerServer, type PeerServer } from '../peers/peerServer';
import { newReplayWindow } from '../peers/replayWindow';

const OLD_SECRET = 'the-secret-before-the-rotation';
const NEW_SECRET = 'the-secret-after-the-rotation';
const ANY = { host: '127.0.0.1', port: 0 } as const;
const TIMEOUT_MS = 500;
const REVOCATION: Revocation = { attempt: 'a', incarnation: 'i', sender: 's', sequence: 1 };
const clock = new SystemClock();

const getMessage = (params: unknown = REVOCATION, method = 'attempt.revoke'): string =>
  JSON.stringify([{ jsonrpc: '2.0', id: 1, method, params }]);

describe('messages between processes', () => {
  let server: PeerServer;
  let heard: Revocation[];
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
    heard = [];
    server = await newPeerServer(
      ANY,
      [OLD_SECRET, NEW_SECRET],
      {
        'attempt.revoke': (revocation) => {
          heard.push(revocation);
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

  it('are heard with either secret of a rotation', async () => {
    const answers = await Promise.all([OLD_SECRET, NEW_SECRET].map((s) => call(newClient(s))));

    expect(answers.map(({ ok }) => ok)).toEqual([true, true]);
    expect(server.refusals).toEqual({});
  });

  it.each([
    ['another secret', getMessage(), 'peer.1', 'another-secret', 401, 'secret'],
    ['a part of the secret', getMessage(), 'peer.1', NEW_SECRET.slice(0, -1), 401, 'secret'],
    ['no secret', getMessage(), 'peer.1', '', 401, 'secret'],
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
    ['no sequence number', getMessage(), 'peer', NEW_SECRET, 400, 'malformed'],
  ])('are refused and counted: %s', async (_case, body, exchange, secret, status, reason) => {
    const answer = await post(body, exchange, secret);

    expect(answer.status).toBe(status);
    expect(server.refusals).toEqual({ [reason]: 1 });
    expect(heard).toEqual([]);
    await expect(call(newClient(NEW_SECRET))).resolves.toMatchObject({ ok: true });
  });

  it.each([
    ['parameters that do not fit', getMessage({ attempt: 7 }), 'params'],
    ['an unknown method', getMessage({}, 'no.such'), 'method'],
  ])('are refused one by one and counted: %s', async (_case, body, reason) => {
    const answer = await post(body);

    expect(await answer.text()).toContain('error');
    expect(server.refusals).toEqual({ [reason]: 1 });
    expect(heard).toEqual([]);
  });

  it('are heard once when they are replayed', async () => {
    const statuses = [];
    for (const exchange of ['peer.1', 'peer.3', 'peer.2', 'peer.3', 'peer.1', 'other.1']) {
      statuses.push((await post(getMessage(), exchange)).status);
    }

    expect(statuses).toEqual([200, 200, 200, 409, 409, 200]);
    expect(server.refusals).toEqual({ replayed: 2 });
    expect(heard).toHaveLength(4);
  });

  it.each([
    ['answers nothing to it', '[]'],
    ['answers another call', '[{"jsonrpc":"2.0","id":999,"result":{"state":"sent"}}]'],
    ['answers no JSON', '<html>'],
    ['answers another shape', '[{"jsonrpc":"2.0","id":1,"result":{"state":"maybe"}}]'],
  ])('fail once and in time when the other side %s', async (_case, body) => {
    const odd = createServer((request, response) => {
      request.resume().on('end', () => response.end(body));
    });
    const address = formatAddress(await listen(odd, ANY));
    const client = newClient(NEW_SECRET);
    const answers = await Promise.all(
      [1, 2, 3].map(() => client.call(address, 'attempt.revoke', REVOCATION)),
    );
    odd.closeAllConnections();
    odd.close();

    expect(answers.map((answer) => !answer.ok && answer.error.kind)).toEqual(
      Array(3).fill('no_answer'),
    );
  });

  it('tell apart what was never sent', async () => {
    await server.close();

    await expect(call(newClient(NEW_SECRET))).resolves.toMatchObject({
      error: { kind: 'unreachable' },
    });
  });

  it('are told from replays as by a window that remembers everything', () => {
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
            const isLate = sequence <= (highest[sender] ?? 0) - width;
            const expected = !isLate && !seen.has(name);
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
