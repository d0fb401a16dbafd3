/** Stand-in of a plain HTTP upstream. */
import { createServer } from 'node:http';
import { closeServer, BYTES_PER_MIB, listen, readBody, type Address } from '@anvilpaddle/common';
import { respondOrFail, applyDelay, failBeforeEffect, newFaults, type Faults } from './faults';

const MAX_BODY_BYTES = 16 * BYTES_PER_MIB;

/** One call that took effect. */
export interface PlainCall {
  readonly method: string;
  readonly path: string;
  readonly attempt: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** Stand-in of a plain HTTP service that records every call that took effect. */
export interface PlainStandIn {
  readonly url: string;
  readonly faults: Faults;
  readonly calls: PlainCall[];
  close(): Promise<void>;
}

/** Starts the stand-in on an address; each response repeats the call and carries its number. */
export const newPlainStandIn = async (address: Address): Promise<PlainStandIn> => {
  const faults = newFaults();
  const calls: PlainCall[] = [];
  const server = createServer((request, response) => {
    const handle = async (): Promise<void> => {
      const path = request.url ?? '/';
      const fault = faults.take(path);
      if (fault?.kind === 'reset_unread') {
        request.socket.resetAndDestroy();
        return;
      }
      const body = await readBody(request, MAX_BODY_BYTES);
      if (!body.ok) return;
      await applyDelay(fault);
      if (failBeforeEffect(fault, request, response)) return;
      calls.push({
        method: request.method ?? '',
        path,
        attempt: String(request.headers['x-request-id'] ?? ''),
        body: String(body.value),
        headers: request.headers as Record<string, string>,
      });
      const echo = { call: calls.length, method: request.method, path };
      await respondOrFail(fault, response, echo);
    };
    handle().catch(() => response.destroy());
  });
  const bound = await listen(server, address);
  return {
    url: `http://${bound.host}:${bound.port}`,
    faults,
    calls,
    close: () => closeServer(server),
  };
};
