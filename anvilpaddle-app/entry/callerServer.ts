/** HTTP server that accepts callers' requests. */
import { createServer, type RequestListener, type Server } from 'node:http';
import type { Duplex } from 'node:stream';
import { getErrorBody, newApiError, type ApiError } from '@anvilpaddle/protocol';
import type { EntrySettings } from '../processSettings/schema';

const HEADERS_TOO_LARGE = 431;
const BAD_REQUEST = 400;
const REQUEST_TIMEOUT = 408;

const getStatus = (code: string | undefined): number => {
  if (code === 'HPE_HEADER_OVERFLOW') return HEADERS_TOO_LARGE;
  return code === 'ERR_HTTP_REQUEST_TIMEOUT' ? REQUEST_TIMEOUT : BAD_REQUEST;
};

const getApiError = (status: number): ApiError => {
  if (status === HEADERS_TOO_LARGE) return newApiError('too_large', 'the headers are too large');
  if (status === REQUEST_TIMEOUT) {
    return newApiError('deadline_exceeded', 'the request came too slowly');
  }
  return newApiError('invalid_request', 'the request is not HTTP');
};

/** Sends an API error for a request that Node's HTTP server rejected before it reached a filter. */
const handleClientError = (error: NodeJS.ErrnoException, socket: Duplex): void => {
  if (!socket.writable) return;
  const status = getStatus(error.code);
  const body = JSON.stringify(getErrorBody(getApiError(status)));
  const head = [
    `HTTP/1.1 ${status} Refused`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
};

/** Creates the HTTP server for callers, with the size and time limits of the process settings. */
export const newCallerServer = (
  limits: EntrySettings['callers'],
  onRequest: RequestListener,
): Server => {
  const server = createServer(
    {
      maxHeaderSize: limits.max_headers,
      headersTimeout: limits.header_timeout,
      requestTimeout: limits.body_timeout,
    },
    onRequest,
  );
  server.on('clientError', handleClientError);
  return server;
};
