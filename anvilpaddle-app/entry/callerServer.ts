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

const getError = (status: number): ApiError => {
  if (status === HEADERS_TOO_LARGE) return newApiError('too_large', 'the headers are too large');
  if (status === REQUEST_TIMEOUT) {
    return newApiError('deadline_exceeded', 'the request came too slowly');
  }
  return newApiError('invalid_request', 'the request is not HTTP');
};

/** Answers a request that never reached the filters, in the API's error shape. */
const refuse = (fault: NodeJS.ErrnoException, socket: Duplex): void => {
  if (!socket.writable) return;
  const status = getStatus(fault.code);
  const body = JSON.stringify(getErrorBody(getError(status)));
  const head = [
    `HTTP/1.1 ${status} Refused`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
};

/** HTTP server for callers, bounded by the process's settings. */
export const newCallerServer = (
  bounds: EntrySettings['callers'],
  serve: RequestListener,
): Server => {
  const server = createServer(
    {
      maxHeaderSize: bounds.max_headers,
      headersTimeout: bounds.header_timeout,
      requestTimeout: bounds.body_timeout,
    },
    serve,
  );
  server.on('clientError', refuse);
  return server;
};
