/** Helpers for HTTP servers: addresses, request bodies, JSON responses. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import { joinBlocks, newBodyCollector } from './bodyCollector';
import { UNBOUNDED_HOLDER } from './byteBudget';
import { NoMemoryForResponseError } from './noMemoryForResponseError';

/** Host and port as in `127.0.0.1:8080`. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Whether a value is a port to which something can be sent. */
export const isPort = (value: unknown): value is number =>
  Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAX_PORT;

/** Parses `host:port`; undefined when the text is malformed. Port 0 stands for any free port. */
export const parseAddress = (text: string): Address | undefined => {
  const match = /^([^:]+):(\d{1,5})$/.exec(text.trim());
  const port = Number(match?.[2]);
  if (match?.[1] === undefined || port > MAX_PORT) return undefined;
  return { host: match[1], port };
};

/** Formats an address as `host:port`. */
export const formatAddress = ({ host, port }: Address): string => `${host}:${port}`;

/** Starts listening; resolves with the bound address, whose port differs if port 0 was given. */
export const listen = (server: Server, address: Address): Promise<Address> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      const bound = server.address();
      const port = typeof bound === 'object' && bound !== null ? bound.port : address.port;
      resolve({ host: address.host, port });
    });
  });

/** Whether a media type is that of a stream of server-sent events. */
export const isEventStreamType = (contentType: string | undefined): boolean =>
  contentType?.startsWith('text/event-stream') === true;

/** Stops a server and closes its connections; resolves once it is closed. */
export const closeServer = (server: Server): Promise<void> =>
  new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });

/**
 * Reads a stream to its end; undefined if it exceeds the limit, or comes in pieces that cost far more than they
 * carry. Rejects if the stream fails or passes the share of its holder.
 */
export const readStream = async (
  stream: Readable,
  limitBytes = Infinity,
  holder = UNBOUNDED_HOLDER,
): Promise<Buffer | undefined> => {
  const collector = newBodyCollector();
  for await (const chunk of stream as AsyncIterable<Buffer>) {
    collector.append(chunk);
    if (collector.getLength() > limitBytes || collector.isWasteful()) return undefined;
    if (!holder.hold(collector.getCapacity())) throw new NoMemoryForResponseError();
  }
  return joinBlocks(collector.getBlocks());
};

/**
 * Why a body could not be read: it exceeds the limit, its pieces cost far more than they carry, the process holds
 * too many bytes already, or the connection closed before its end.
 */
export type BodyError =
  | { readonly kind: 'body_too_large'; readonly limitBytes: number }
  | { readonly kind: 'body_wasteful' }
  | { readonly kind: 'no_memory' }
  | { readonly kind: 'body_cut' };

/** Number of body bytes that the head of a message announces; 0 if it does not. */
export const getAnnouncedBytes = ({ headers }: IncomingMessage): number => {
  const bytes = Number(headers['content-length'] ?? 0);
  return Number.isFinite(bytes) ? bytes : 0;
};

/**
 * Reads a whole request body, or fails once it exceeds `limitBytes`, costs far more than it carries or passes
 * the share of its holder, which holds it from then on. The stream is not destroyed then, so that a response
 * can still be sent.
 */
export const readBody = async (
  stream: IncomingMessage,
  limitBytes: number,
  holder = UNBOUNDED_HOLDER,
): Promise<
  { readonly ok: true; readonly value: Buffer } | { readonly ok: false; readonly error: BodyError }
> => {
  const announcedBytes = getAnnouncedBytes(stream);
  if (announcedBytes <= limitBytes && !holder.canHold(announcedBytes)) {
    return { ok: false, error: { kind: 'no_memory' } };
  }
  const collector = newBodyCollector();
  try {
    for await (const chunk of stream.iterator({
      destroyOnReturn: false,
    }) as AsyncIterable<Buffer>) {
      collector.append(chunk);
      if (collector.getLength() > limitBytes) {
        return { ok: false, error: { kind: 'body_too_large', limitBytes } };
      }
      if (collector.isWasteful()) return { ok: false, error: { kind: 'body_wasteful' } };
      if (!holder.hold(collector.getCapacity())) return { ok: false, error: { kind: 'no_memory' } };
    }
  } catch {
    return { ok: false, error: { kind: 'body_cut' } };
  }
  return { ok: true, value: joinBlocks(collector.getBlocks()) };
};

/** Sends a value as a JSON response. */
export const sendJson = (
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void => {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(body.length),
    ...headers,
  });
  response.end(body);
};
