import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendJson } from '@anvilpaddle/common';

/** Faults that a stand-in may be told to show, on calls whose path starts with `path`. */
export interface Fault {
  readonly path: string;
  /** Strikes only calls from this IP address; all when missing. */
  readonly from?: string;
  /**
   * `refuse`: answer 503, nothing happens. `fail`: take effect, then answer 500.
   * `reset_unread`: reset the connection before the body is read, nothing happens.
   * `drop_before`: read the body, then cut the connection, nothing happens.
   * `drop_after`: take effect, then cut the connection. `delay`: take effect late.
   * `delay_after`: take effect, then answer late. `cut_answer`: take effect, answer with a length
   * and cut before it is reached. `cut_chunked`: the same in chunks, for a stream in the middle of
   * an event. `cut_unframed`: the same without length or chunks. `end_early`: end a stream before
   * its end mark. `other_id`: an engine's answer bears the id of another attempt.
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
    | 'end_early'
    | 'other_id';
  /** How many calls it strikes; without end when missing. */
  readonly times?: number;
  readonly delayMs?: number;
  /** Tokens that a stream gives before it is cut or ended. */
  readonly afterTokens?: number;
}

/** Faults that are switched on. */
export interface Faults {
  add(fault: Fault): void;
  clear(): void;
  /** Whether a fault on the path has struck a call. */
  hasApplied(path: string): boolean;
  /** Fault that strikes this call, if any; counts it down. */
  take(path: string, from?: string): Fault | undefined;
}

/** Switchboard of faults for one stand-in. */
export const newFaults = (): Faults => {
  let active: { fault: Fault; left: number; struck: number }[] = [];
  return {
    add: (fault) => {
      active.push({ fault, left: fault.times ?? Infinity, struck: 0 });
    },
    clear: () => {
      active = [];
    },
    hasApplied: (path) => active.some(({ fault, struck }) => fault.path === path && struck > 0),
    take: (path, from) => {
      const hit = active.find(
        ({ fault, left }) =>
          left > 0 &&
          path.startsWith(fault.path) &&
          (fault.from === undefined || fault.from === from),
      );
      if (hit === undefined) return undefined;
      hit.left -= 1;
      hit.struck += 1;
      return hit.fault;
    },
  };
};

/** Waits for a `delay` fault. */
export const applyDelay = async (fault: Fault | undefined): Promise<void> => {
  if (fault?.kind === 'delay') await sleep(fault.delayMs ?? 0);
};

/** Shows a fault that strikes before the call takes effect; false when there is none. */
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

/** Answers with JSON unless a fault that strikes after the call took effect forbids it. */
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
    default:
      sendJson(response, 200, value);
  }
};
