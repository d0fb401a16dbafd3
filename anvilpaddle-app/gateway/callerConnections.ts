/** Connections of callers, and their close at a planned stop without the loss of a request. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import { breakOffResponse, BYTES_PER_KIB, MS_PER_SECOND, type Clock } from '@anvilpaddle/common';
import { sleep } from '../process/program';
import { sendRefusal, STATUS, type Refusal } from './refusal';
import type { CallerBounds } from './types';

/** Time for the first request of a connection that was accepted just before the close. */
const FIRST_REQUEST_TIMEOUT_MS = 500;

/** Time beyond the announced one for which an idle connection stays open. */
const KEEP_ALIVE_MARGIN_MS = MS_PER_SECOND;

/** Bytes of a request line and of separators, which Node counts as headers. */
const HEADER_OVERHEAD_BYTES = 8 * BYTES_PER_KIB;

/** Answer to a request that still runs when the gateway stops. */
const STOPPED: Refusal = { status: STATUS.timeout, reason: 'the gateway has stopped' };

/** Connections of the callers' server. */
export interface CallerConnections {
  /** Sets the limits of the configuration; the size of headers for connections that open later. */
  applyBounds(
    bounds: Pick<CallerBounds, 'maxHeaderBytes' | 'headerTimeoutMs' | 'idleTimeoutMs'>,
  ): void;
  /** Number of requests whose responses have not ended. */
  getActiveRequests(): number;
  /** Tells callers that their connections close, in all responses that have not started yet. */
  announceClose(): void;
  /**
   * Accepts no more connections and closes each one after its last response; resolves when all are
   * closed.
   */
  close(): Promise<void>;
  /** Whether a request that has arrived can still be served; false once all connections close. */
  isTakingRequests(): boolean;
  /**
   * Ends the responses that have not ended: with an error if they have not started, or by breaking
   * them off, so that their callers can tell.
   */
  breakOff(): void;
}

/** State of one connection. */
interface Connection {
  readonly openResponses: Set<ServerResponse>;
  /** Bytes received by the end of the last response; undefined before the first one. */
  bytesAtLastEnd: number | undefined;
}

const newConnection = (): Connection => ({ openResponses: new Set(), bytesAtLastEnd: undefined });

/** Resolves after the next phase in which the event loop reads from sockets. */
const waitForPoll = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Accepts the connections, and reads the requests, that the kernel holds for a busy process. */
const readArrived = async (): Promise<void> => {
  // The first poll accepts connections, whose data the second one reads.
  await waitForPoll();
  await waitForPoll();
};

/** Tracks the connections of a server that has not started to listen. */
export const newCallerConnections = (server: Server, clock: Clock): CallerConnections => {
  const connections = new Map<Socket, Connection>();
  let isClosing = false;
  let isTakingRequests = true;

  const getOpenResponses = (): ServerResponse[] =>
    [...connections.values()].flatMap(({ openResponses }) => [...openResponses]);

  /** Whether a connection has had a request, and has received nothing after it. */
  const isIdle = (socket: Socket, { openResponses, bytesAtLastEnd }: Connection): boolean =>
    openResponses.size === 0 && socket.bytesRead === bytesAtLastEnd;

  const isUnused = (socket: Socket): boolean => socket.bytesRead === 0;

  const closeIdle = (): void =>
    connections.forEach((connection, socket) => {
      if (isIdle(socket, connection)) socket.destroySoon();
    });

  const closeUnused = (): void =>
    connections.forEach((_, socket) => {
      if (isUnused(socket)) socket.destroySoon();
    });

  server.on('connection', (socket: Socket) => {
    connections.set(socket, newConnection());
    socket.once('close', () => connections.delete(socket));
  });

  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    const connection = connections.get(socket);
    if (connection === undefined) return;
    const announcedMs = server.keepAliveTimeout;
    connection.openResponses.add(response);
    response.once('close', () => {
      connection.openResponses.delete(response);
      connection.bytesAtLastEnd = socket.bytesRead;
      if (isClosing && connection.openResponses.size === 0) socket.destroySoon();
      // The server's timeout applies as it is now; the caller was told that of the response's head.
      if (server.keepAliveTimeout < announcedMs) {
        socket.setTimeout(announcedMs + KEEP_ALIVE_MARGIN_MS);
      }
    });
  });

  return {
    applyBounds: ({ maxHeaderBytes, headerTimeoutMs, idleTimeoutMs }) => {
      // Node's types have the size only among the options of a new server.
      Object.assign(server, {
        maxHeaderSize: maxHeaderBytes + HEADER_OVERHEAD_BYTES,
        headersTimeout: headerTimeoutMs,
        keepAliveTimeout: idleTimeoutMs,
      });
    },
    getActiveRequests: () => getOpenResponses().length,
    announceClose: () =>
      getOpenResponses()
        .filter(({ headersSent }) => !headersSent)
        .forEach((response) => response.setHeader('connection', 'close')),
    close: async () => {
      await readArrived();
      isClosing = true;
      // `close` of an HTTP server also destroys connections that still send their last response.
      const closed = new Promise<void>((resolve) => {
        NetServer.prototype.close.call(server, () => resolve());
      });
      closeIdle();
      await sleep(clock, FIRST_REQUEST_TIMEOUT_MS);
      await readArrived();
      isTakingRequests = false;
      closeUnused();
      await closed;
    },
    isTakingRequests: () => isTakingRequests,
    breakOff: () =>
      getOpenResponses().forEach((response) => {
        if (response.headersSent) breakOffResponse(response);
        else sendRefusal(response, STOPPED);
      }),
  };
};
