/** Errors of those who read a response: they fail that response, and do not end the process. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { closeServer, listen, newByteBudget, SystemClock, type Address } from '@anvilpaddle/common';
import { readInBulk } from '../bulkReader';
import { newCallerStream } from '../callerStream';
import { isResponseComplete } from '../responseEnd';
import { callUpstream } from '../upstreamCall';

const clock = new SystemClock();
const nothing = (): void => undefined;
const fail = (): never => {
  throw new Error('odd head');
};

let server: Server;
let address: Address;

beforeEach(async () => {
  server = createServer((message, response) => {
    message.resume();
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.end('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  });
  address = await listen(server, { host: '127.0.0.1', port: 0 });
});

afterEach(() => closeServer(server));

const getMessage = async (): Promise<IncomingMessage> => {
  const result = await callUpstream(
    { address, method: 'GET', path: '/', headers: ['Host', 'upstream'], body: Buffer.alloc(0) },
    new AbortController().signal,
    clock,
  );
  if (result.kind !== 'answered') throw new Error(result.detail);
  return result.message;
};

it('a stream whose head can not be written to its caller is lost, and the caller has no event', async () => {
  const stream = newCallerStream(
    { writeHead: fail, write: () => true, end: nothing } as unknown as ServerResponse,
    false,
    () => [],
    newByteBudget(Infinity),
    nothing,
  );
  const end = await stream.relay(await getMessage(), undefined, new AbortController().signal, {
    onContent: nothing,
    onBlocked: nothing,
  });

  expect({
    isComplete: isResponseComplete(end),
    readerError: end.readerError,
    isStarted: stream.isStarted(),
    lastEventId: stream.lastEventId(),
  }).toEqual({
    isComplete: false,
    readerError: 'odd head',
    isStarted: false,
    lastEventId: undefined,
  });
});

it('a response that is read in bulk is lost if its reader throws', async () => {
  const end = await readInBulk(await getMessage(), fail, new AbortController().signal, clock);

  expect(end).toBe('closed');
});
