/** Stand-in of the platform's services. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import {
  closeServer,
  listen,
  readBody,
  sendJson,
  type Address,
  BYTES_PER_MIB,
} from '@anvilpaddle/common';
import type { RowRange, Transaction, Vm } from '@anvilpaddle/platform';
import { applyDelay, newFaults, type Faults } from './faults';
import { newRateLimits, type RateLimits } from './rateLimits';
import { newInMemoryTables, type InMemoryTables } from './inMemoryTables';

const MAX_BODY_BYTES = 64 * BYTES_PER_MIB;
const WEIGHT_BYTES = 1_000_000;

/** Stand-in of the platform: table service, object store, weight store and VM list. */
export interface PlatformStandIn {
  readonly url: string;
  readonly faults: Faults;
  readonly tables: InMemoryTables;
  readonly objects: Map<string, Buffer>;
  /** Rate limits of the stores; no call is refused until rates are set. */
  readonly rates: RateLimits;
  /** Replaces the VM list. */
  setVms(vms: readonly Vm[]): void;
  close(): Promise<void>;
}

interface RowAddress {
  readonly table: string;
  readonly key: string;
}

/** Starts the stand-in on an address; port 0 picks a free port. */
export const newPlatformStandIn = async (address: Address): Promise<PlatformStandIn> => {
  const faults = newFaults();
  const rates = newRateLimits();
  const tables = newInMemoryTables();
  const objects = new Map<string, Buffer>();
  let vms: readonly Vm[] = [];

  const runTableCall = (operation: string, body: unknown): unknown => {
    if (operation === 'get') {
      const { table, key } = body as RowAddress;
      const row = tables.get(table, key);
      return { rows: row === undefined ? [] : [row] };
    }
    if (operation === 'scan') {
      const { table, ...range } = body as RowRange & { table: string };
      return { rows: tables.scan(table, range) };
    }
    return tables.transact(body as Transaction);
  };

  const serveObject = (method: string, key: string, body: Buffer, response: ServerResponse) => {
    if (method === 'PUT') objects.set(key, body);
    if (method === 'DELETE') objects.delete(key);
    const object = objects.get(key);
    response.writeHead(object === undefined && method === 'GET' ? 404 : 200);
    response.end(method === 'GET' ? object : undefined);
  };

  const serve = (path: string, method: string, body: Buffer, response: ServerResponse): void => {
    if (path.startsWith('/tables/')) {
      sendJson(
        response,
        200,
        runTableCall(path.slice('/tables/'.length), JSON.parse(String(body))),
      );
      return;
    }
    if (path.startsWith('/objects/')) {
      serveObject(method, decodeURIComponent(path.slice('/objects/'.length)), body, response);
      return;
    }
    if (path.startsWith('/weights/')) {
      sendJson(response, 200, { sizeBytes: WEIGHT_BYTES });
      return;
    }
    sendJson(response, path === '/vms' ? 200 : 404, { vms });
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const path = request.url ?? '/';
    const body = await readBody(request, MAX_BODY_BYTES);
    if (!body.ok) return;
    if (!rates.take(path, request.method ?? 'GET')) {
      sendJson(response, 429, {}, { 'retry-after': '1' });
      return;
    }
    const fault = faults.take(path, request.socket.remoteAddress);
    await applyDelay(fault);
    if (fault?.kind === 'refuse') {
      sendJson(response, 503, {});
      return;
    }
    if (fault?.kind === 'drop_before') {
      request.socket.destroy();
      return;
    }
    if (fault?.kind === 'drop_after') response.end = () => response.destroy();
    serve(path, request.method ?? 'GET', body.value, response);
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  const bound = await listen(server, address);

  return {
    url: `http://${bound.host}:${bound.port}`,
    faults,
    rates,
    tables,
    objects,
    setVms: (next) => {
      vms = next;
    },
    close: () => closeServer(server),
  };
};
