import { EventEmitter } from 'node:events';
import { createServer, type ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { closeServer, listen, newByteBudget, SystemClock } from '@anvilpaddle/common';
import { newCallerStream } from '../callerStream';
import { isResponseComplete } from '../responseEnd';
import { callUpstream } from '../upstreamCall';

it('a stream whose time is up while its caller reads nothing does not end as complete', async () => {
  const server = createServer((message, response) => {
    message.resume();
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.cork();
    [1, 2, 3].forEach((id) => response.write(`id: ${id}\ndata: ${id}\n\n`));
    response.end();
    response.uncork();
  });
  const address = await listen(server, { host: '127.0.0.1', port: 0 });
  const controller = new AbortController();
  const written: string[] = [];
  let isEnded = false;
  /** Caller whose buffers are full after the first event. */
  const response = Object.assign(new EventEmitter(), {
    writeHead: () => response,
    write: (bytes: Buffer) => {
      written.push(bytes.toString());
      return false;
    },
    end: () => {
      isEnded = true;
    },
  });
  const result = await callUpstream(
    { address, method: 'GET', path: '/', headers: ['Host', 'upstream'], body: Buffer.alloc(0) },
    controller.signal,
    new SystemClock(),
  );
  if (result.kind !== 'answered') throw new Error(result.detail);
  const stream = newCallerStream(
    response as unknown as ServerResponse,
    false,
    () => [],
    newByteBudget(Infinity),
    () => undefined,
  );
  setTimeout(() => controller.abort(), 200);
  const end = await stream.relay(result.message, undefined, controller.signal, {
    onContent: () => undefined,
    onBlocked: () => undefined,
  });
  await closeServer(server);
  expect(written.join('')).not.toContain('id: 3');
  expect({ isComplete: isResponseComplete(end), isEnded }).toEqual({
    isComplete: false,
    isEnded: false,
  });
});

const FILLER = '.'.repeat(16_000);
const TAIL_EVENTS = 3;

/** As above, with real sockets: the upstream ends its stream once its caller's buffers are full. */
it('a slow caller gets no complete end of a stream whose time is up before it has all events', async () => {
  let callerResponse: ServerResponse | undefined;
  let id = 0;
  const sendEvent = (response: ServerResponse, text: string): void => {
    id += 1;
    response.write(`id: ${id}\ndata: ${text}\n\n`);
  };
  const upstream = createServer((message, response) => {
    message.resume();
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const sendMore = (): void => {
      // More than one event waits only if the caller takes nothing more.
      if (callerResponse === undefined || callerResponse.writableLength < 40_000) {
        sendEvent(response, FILLER);
        setTimeout(sendMore, 2);
        return;
      }
      response.cork();
      for (let index = 0; index < TAIL_EVENTS; index += 1) sendEvent(response, 'tail');
      response.end();
      response.uncork();
    };
    sendMore();
  });
  const upstreamAddress = await listen(upstream, { host: '127.0.0.1', port: 0 });
  const gateway = createServer((message, response) => {
    message.resume();
    callerResponse = response;
    const controller = new AbortController();
    const stream = newCallerStream(
      response,
      false,
      () => ['Content-Type', 'text/event-stream'],
      newByteBudget(Infinity),
      () => undefined,
    );
    const serve = async (): Promise<void> => {
      const result = await callUpstream(
        {
          address: upstreamAddress,
          method: 'GET',
          path: '/',
          headers: ['Host', 'upstream'],
          body: Buffer.alloc(0),
        },
        controller.signal,
        new SystemClock(),
      );
      if (result.kind !== 'answered') throw new Error(result.detail);
      setTimeout(() => controller.abort(), 2000);
      const end = await stream.relay(result.message, undefined, controller.signal, {
        onContent: () => undefined,
        onBlocked: () => undefined,
      });
      if (!isResponseComplete(end)) stream.abort();
    };
    void serve();
  });
  const { port } = await listen(gateway, { host: '127.0.0.1', port: 0 });
  const text = await new Promise<string>((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
    socket.pause();
    setTimeout(() => {
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString();
      });
      socket.resume();
    }, 3000);
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
  });
  await closeServer(upstream);
  await closeServer(gateway);
  const lastId = [...text.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number)).at(-1);
  const isComplete = text.endsWith('0\r\n\r\n');
  const isCutButComplete = isComplete && lastId !== id;
  expect({ isCutButComplete, lastId, sentId: id }).toMatchObject({ isCutButComplete: false });
}, 30_000);
