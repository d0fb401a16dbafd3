/** HTTP client of a sidecar for its upstream. */
import { Agent, type IncomingHttpHeaders } from 'node:http';
import { Agent as SecureAgent } from 'node:https';
import type { Readable } from 'node:stream';
import {
  callHttp,
  newFailure,
  newOk,
  readStream,
  SystemClock,
  type Address,
  type HttpCall,
  type HttpCallResult,
  type Result,
} from '@anvilpaddle/common';

/** Request to the upstream. */
export interface UpstreamRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** Response of the upstream; the caller of `send` has to read or destroy its body. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Fails unless the response arrives whole. */
  readonly body: Readable;
}

/**
 * Why there is no response. `not_sent`: the upstream has received nothing. `no_answer`: it may have
 * run the request.
 */
export interface UpstreamError {
  readonly kind: 'not_sent' | 'no_answer';
  readonly detail: string;
}

/** Sends requests to the one upstream of a sidecar. */
export interface UpstreamClient {
  send(upstreamRequest: UpstreamRequest): Promise<Result<UpstreamResponse, UpstreamError>>;
  /** Models that the upstream serves; undefined when it did not respond. */
  listModels(): Promise<readonly string[] | undefined>;
  /** Closes all connections; requests in progress fail. */
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 2000;
const MODELS_TIMEOUT_MS = 2000;
/** Time after which an idle connection is closed, before the upstream is likely to close it. */
const IDLE_TIMEOUT_MS = 4000;
const DEFAULT_PORTS: Readonly<Record<string, number>> = { 'http:': 80, 'https:': 443 };
/** Methods whose requests have a body, which may be empty. */
const METHODS_WITH_BODY = new Set(['POST', 'PUT', 'PATCH']);
const clock = new SystemClock();

/** Where an upstream's URLs begin. */
interface BaseUrl {
  readonly isSecure: boolean;
  readonly host: string;
  readonly address: Address;
}

const parseBaseUrl = (url: URL): BaseUrl => ({
  isSecure: url.protocol === 'https:',
  host: url.host,
  address: {
    // An IPv6 address stands in brackets in a URL.
    host: url.hostname.replace(/^\[|\]$/g, ''),
    port: url.port === '' ? (DEFAULT_PORTS[url.protocol] ?? 0) : Number(url.port),
  },
});

const newAgent = (isSecure: boolean, maxSockets: number): Agent => {
  const options = { keepAlive: true, maxSockets, timeout: IDLE_TIMEOUT_MS };
  return isSecure ? new SecureAgent(options) : new Agent(options);
};

/** Creates a client for the upstream at a base URL, with at most `connections` connections. */
export const newUpstreamClient = (baseUrl: string, connections: number): UpstreamClient => {
  const { isSecure, host, address } = parseBaseUrl(new URL(baseUrl));
  // A connection carries one request at a time, and no request that was sent is sent again.
  const requestAgent = newAgent(isSecure, connections);
  // Model lists have their own connection, so that they don't wait behind long responses.
  const modelsAgent = newAgent(isSecure, 1);
  const openCalls = new Set<AbortController>();

  const getCall = (agent: Agent, path: string): Omit<HttpCall, 'method' | 'headers' | 'body'> => {
    const url = new URL(`${baseUrl}${path}`);
    return {
      agent,
      isSecure,
      address,
      path: `${url.pathname}${url.search}`,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    };
  };

  /** Sends a call that is aborted when the client is closed. */
  const sendCall = async (call: HttpCall, signal: AbortSignal): Promise<HttpCallResult> => {
    const controller = new AbortController();
    openCalls.add(controller);
    const result = await callHttp(call, AbortSignal.any([signal, controller.signal]), clock);
    if (result.kind === 'answered') {
      result.message.once('close', () => openCalls.delete(controller));
    } else {
      openCalls.delete(controller);
    }
    return result;
  };

  return {
    send: async ({ id, method, path, headers, body, signal }) => {
      const hasLength = body.length > 0 || METHODS_WITH_BODY.has(method);
      const callHeaders = {
        ...headers,
        host,
        'x-request-id': id,
        ...(hasLength ? { 'content-length': String(body.length) } : {}),
      };
      const result = await sendCall(
        {
          ...getCall(requestAgent, path),
          method,
          headers: Object.entries(callHeaders).flat(),
          body,
        },
        signal,
      );
      if (result.kind === 'answered') {
        const { statusCode = 0, headers: responseHeaders } = result.message;
        return newOk({ status: statusCode, headers: responseHeaders, body: result.message });
      }
      const kind = result.kind === 'not_sent' ? 'not_sent' : 'no_answer';
      return newFailure({ kind, detail: result.detail });
    },
    listModels: async () => {
      const call = {
        ...getCall(modelsAgent, '/v1/models'),
        method: 'GET',
        headers: ['host', host],
        body: Buffer.alloc(0),
      };
      const result = await sendCall(call, AbortSignal.timeout(MODELS_TIMEOUT_MS));
      if (result.kind !== 'answered') return undefined;
      try {
        const body = await readStream(result.message);
        const { data } = JSON.parse(String(body)) as { data: { id: string }[] };
        return data.map(({ id }) => id);
      } catch {
        return undefined;
      }
    },
    close: async () => {
      openCalls.forEach((controller) => controller.abort());
      requestAgent.destroy();
      modelsAgent.destroy();
    },
  };
};
