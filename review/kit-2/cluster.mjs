// A small deployment: configuration, workers' rows and gateways on loopback addresses.
import { createServer } from 'node:http';
import { startGateway } from './gateways.mjs';

export const HOST = 'site.example';
export const KEY = 'key0of0tenant0one';
export const TENANT = 'tenant-one';

const ROUTE = {
  host: HOST,
  timeout_ms: 5000,
  slo_ms: 300,
  priority: 0,
  service: 'models',
  max_attempts: 2,
  public: false,
};

/** Routes like those of the smaller sites. */
export const newRoutes = (overrides = {}) =>
  [
    { name: 'lookup', prefix: '/lookup/', kind: 'safe', timeout_ms: 4000 },
    { name: 'intake', prefix: '/intake/', kind: 'unsafe' },
    { name: 'reply', prefix: '/reply/', kind: 'stream', resumable: true, gap_target_ms: 250 },
    { name: 'draft', prefix: '/draft/', kind: 'stream', max_attempts: 1, gap_target_ms: 250 },
    {
      name: 'review',
      prefix: '/review/',
      kind: 'batch',
      slo_ms: 400,
      timeout_ms: 15000,
      max_attempts: 3,
      due_ms: 18000,
      max_queue_s: 60,
      max_count: 1000000,
    },
  ].map((route) => ({ ...ROUTE, ...route, ...overrides[route.name] }));

/** Configuration in full. */
export const newConfig = (version, overrides = {}) => ({
  version,
  routes: newRoutes(),
  services: [{ name: 'models', health_path: '/healthz', max_conns: 370 }],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants: [{ name: TENANT, api_keys: [KEY], rate_per_s: 0, burst: 0 }],
  ...overrides,
});

/** Row of a worker. */
export const newWorkerRow = (address, overrides = {}) => ({
  service: 'models',
  address,
  zone: 'zone-1',
  version: 'v1',
  slots: 8,
  state: 'ready',
  cold_left_ms: 0,
  seq: 1,
  born: 1_700_000_000_000,
  ...overrides,
});

/** Writes the workers' rows anew at each heartbeat. */
export const beat = (store, getRows) => {
  let seq = 0;
  const write = () => {
    seq += 1;
    Object.entries(getRows()).forEach(([id, row]) => store.put('servers', id, { ...row, seq }));
  };
  write();
  return setInterval(write, 1200);
};

const readAll = async (message) => {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/**
 * Worker with `slots` places: a stream of `events` events for items and streams, a body for others. For each
 * request that it runs it calls `spoil`, which may return bytes that are sent in place of the answer.
 */
export const startWorker = async (host, id, options = {}) => {
  const { events = 36, eventMs = 20, slots = 8, port = 0, spoil = () => undefined } = options;
  const { getEvents = () => ({ events, eventMs, bytes: 0 }) } = options;
  const runs = [];
  let running = 0;
  const answer = async (message, response) => {
    const body = await readAll(message);
    const requestId = message.headers['request-id'];
    const expected = message.headers['expect-instance'];
    const echo = { 'Request-Id': requestId ?? '' };
    if (message.url === '/healthz') {
      response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...echo, 'Not-Run': '1', 'Content-Length': 0 }).end();
      return;
    }
    if (running >= slots + 24) {
      response.writeHead(503, { ...echo, 'Not-Run': '1', 'Content-Length': 0 }).end();
      return;
    }
    running += 1;
    response.once('close', () => {
      running -= 1;
    });
    const run = { id: requestId, path: message.url, bytes: body.length, atMs: performance.now() };
    runs.push(run);
    const spoiled = spoil(run, message);
    if (spoiled !== undefined) {
      run.isSpoiled = true;
      message.socket.write(spoiled);
      return;
    }
    const stamp = { ...echo, 'Server-Stamp': `stamp.${id}.${requestId}` };
    if (message.url.startsWith('/lookup/') || message.url.startsWith('/intake/')) {
      await new Promise((resolve) => {
        setTimeout(resolve, eventMs);
      });
      const text = `answer to ${requestId}`;
      response.writeHead(200, { ...stamp, 'Content-Length': text.length }).end(text);
      return;
    }
    response.writeHead(200, { ...stamp, 'Content-Type': 'text/event-stream' });
    const stream = getEvents(message.url);
    const first = Number(message.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= stream.events; event += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, stream.eventMs);
      });
      if (response.destroyed) return;
      const data = `${requestId} ${event} `.padEnd(stream.bytes, '.').trimEnd();
      response.write(`id: ${event}\ndata: ${data}\n\n`);
    }
    response.end();
    run.endedMs = performance.now();
  };
  const server = createServer((message, response) => {
    answer(message, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(port, host, resolve);
  });
  return {
    id,
    port: server.address().port,
    address: `${host}:${server.address().port}`,
    runs,
    getRunning: () => running,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

export { startGateway };
