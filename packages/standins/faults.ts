/** Faults that stand-ins inject into the calls that they serve. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendJson } from '@anvilpaddle/common';

/** Fault that a stand-in injects into calls whose path starts with `path`. */
export interface Fault {
  readonly path: string;
  /** Injected only into calls from this IP address; into all calls by default. */
  readonly from?: string;
  /**
   * Calls that have no effect:
   * - `refuse`: respond with status 503
   * - `reset_unread`: reset the connection before the body is read
   * - `drop_before`: read the body, then close the connection
   *
   * Calls that take effect:
   * - `fail`: respond with status 500
   * - `drop_after`: close the connection without a response
   * - `delay`: delay the effect
   * - `delay_after`: delay the response
   * - `cut_answer`: send a content length, then close the connection before that length is reached
   * - `cut_chunked`: the same with chunked encoding; a stream is cut in the middle of an event
   * - `cut_unframed`: the same with neither content length nor chunked encoding
   * - `reset_unframed`: the same, with a reset of the connection
   * - `end_early`: end a stream without its end marker
   * - `pause`: a stream falls silent before an event, and goes on after `delayMs`
   * - `pause_inside`: the same in the middle of an event
   * - `other_id`: an engine's response carries the id of another attempt
   */
  readonly kind:
    | 'refuse'
    | 'fail'
    | 'reset_unread'
    | 'drop_before'
    | 'drop_after'
    | 'delay'
    | 'delay_after'
    | 'cut_answer'
    | 'cut_chunked'
    | 'cut_unframed'
    | 'reset_unframed'
    | 'end_early'
    | 'pause'
    | 'pause_inside'
    | 'other_id';
  /** Number of calls that it is injected into; unlimited by default. */
  readonly times?: number;
  /** Delay of `delay` and `delay_after`, silence of `pause` and `pause_inside`. */
  readonly delayMs?: number;
  /** Number of tokens that a stream sends before it is cut or ended, or falls silent. */
  readonly afterTokens?: number;
}

/** Faults that one stand-in injects at present. */
export interface Faults {
  add(fault: Fault): void;
  clear(): void;
  /** Whether a fault added for exactly this path has been injected into a call. */
  hasApplied(path: string): boolean;
  /** Returns the fault to inject into this call, if any, and counts it against `times`. */
  take(path: string, from?: string): Fault | undefined;
}

/** Creates the fault injection of one stand-in; no fault is active at first. */
export const newFaults = (): Faults => {
  let active: { fault: Fault; left: number; injected: number }[] = [];
  return {
    add: (fault) => {
      active.push({ fault, left: fault.times ?? Infinity, injected: 0 });
    },
    clear: () => {
      active = [];
    },
    hasApplied: (path) => active.some(({ fault, injected }) => fault.path === path && injected > 0),
    take: (path, from) => {
      const match = active.find(
        ({ fault, left }) =>
          left > 0 &&
          path.startsWith(fault.path) &&
          (fault.from === undefined || fault.from === from),
      );
      if (match === undefined) return undefined;
      match.left -= 1;
      match.injected += 1;
      return match.fault;
    },
  };
};

/** Waits for a `delay` fault. */
export const applyDelay = async (fault: Fault | undefined): Promise<void> => {
  if (fault?.kind === 'delay') await sleep(fault.delayMs ?? 0);
};

/** Ends a call with a fault that keeps it from taking effect; returns false if there is none. */
export const failBeforeEffect = (
  fault: Fault | undefined,
  request: IncomingMessage,
  response: ServerResponse,
): boolean => {
  if (fault?.kind === 'refuse') sendJson(response, 503, { error: 'refused by a fault' });
  else if (fault?.kind === 'drop_before') request.socket.destroy();
  else return false;
  return true;
};

const sendHead = (response: ServerResponse, headers: Readonly<Record<string, string>>): void => {
  response.writeHead(200, { 'content-type': 'application/json', ...headers });
  response.flushHeaders();
};

/** Responds with JSON to a call that took effect, or with the fault to inject at that point. */
export const respondOrFail = async (
  fault: Fault | undefined,
  response: ServerResponse,
  value: unknown,
): Promise<void> => {
  const body = Buffer.from(JSON.stringify(value));
  const half = body.subarray(0, Math.ceil(body.length / 2));
  const cut = (): void => {
    response.write(half, () => response.destroy());
  };
  if (fault?.kind === 'delay_after') await sleep(fault.delayMs ?? 0);
  switch (fault?.kind) {
    case 'fail':
      sendJson(response, 500, { error: 'failed by a fault' });
      break;
    case 'drop_after':
      response.destroy();
      break;
    case 'cut_answer':
      sendHead(response, { 'content-length': String(body.length) });
      cut();
      break;
    case 'cut_chunked':
      sendHead(response, {});
      cut();
      break;
    case 'cut_unframed':
      response.useChunkedEncodingByDefault = false;
      sendHead(response, { connection: 'close' });
      response.end(half);
      break;
    case 'reset_unframed':
      response.useChunkedEncodingByDefault = false;
      sendHead(response, { connection: 'close' });
      response.write(half, () => response.socket?.resetAndDestroy());
      break;
    default:
      sendJson(response, 200, value);
  }
};
