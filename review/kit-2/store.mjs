// Stand-in of the platform's store, after the published protocol: tables, watches and objects in memory.
import { createServer } from 'node:http';

const STORE_START_MS = performance.now();
const MAX_ROWS = 500;

/** Time that each object call takes, and the rate that all of them share. */
const BLOB_MS = 25;
const BLOB_BYTES_PER_MS = 80_000;
const TRANSFER_TICK_MS = 4;
/** Bytes of all objects from which on no more are written. */
const MAX_STORED_BYTES = 400_000_000;

/** Transfers of objects, which share one rate equally. */
const newTransfers = () => {
  const active = new Set();
  let lastMs = performance.now();
  let peak = 0;
  let moved = 0;
  const timer = setInterval(() => {
    const nowMs = performance.now();
    const budget = (nowMs - lastMs) * BLOB_BYTES_PER_MS;
    lastMs = nowMs;
    const share = Math.floor(budget / Math.max(1, active.size));
    [...active].forEach((transfer) => {
      const bytes = Math.min(share, transfer.length - transfer.getMoved());
      moved += bytes;
      transfer.onBytes(bytes);
      if (transfer.getMoved() < transfer.length) return;
      active.delete(transfer);
      transfer.onDone();
    });
  }, TRANSFER_TICK_MS);
  return {
    /** Moves a number of bytes; returns a function that ends the transfer. */
    start: (length, onBytes, onDone) => {
      let movedBytes = 0;
      const transfer = {
        length,
        getMoved: () => movedBytes,
        onBytes: (bytes) => {
          movedBytes += bytes;
          onBytes(bytes);
        },
        onDone,
      };
      const delay = setTimeout(() => {
        active.add(transfer);
        peak = Math.max(peak, active.size);
      }, BLOB_MS);
      return () => {
        clearTimeout(delay);
        active.delete(transfer);
      };
    },
    getPeak: () => peak,
    /** MB that were moved since the last call. */
    takeMb: () => {
      const bytes = moved;
      moved = 0;
      return Math.round(bytes / 1e6);
    },
    close: () => clearInterval(timer),
  };
};

const readAll = async (message) => {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const send = (response, status, value) => {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length });
  response.end(body);
};

/** Starts a store at an address; `intercept` may take a call over by returning true. */
export const startStore = async (host) => {
  let ver = 1;
  const rows = new Map();
  const changes = [];
  const objects = new Map();
  const waiters = new Set();
  const state = {
    intercept: undefined,
    calls: 0,
    objectReads: 0,
    brokenOffReads: 0,
    refusedWrites: 0,
  };
  const transfers = newTransfers();
  const nowMs = () => Math.round(performance.now() - STORE_START_MS);
  const keyOf = ({ table, part = '', key }) => `${table}\n${part}\n${key}`;

  const apply = (writes, removals = []) => {
    ver += 1;
    writes.forEach(({ table, part = '', key, value }) => {
      const row = { table, part, key, value, ver };
      rows.set(keyOf(row), row);
      changes.push(row);
    });
    removals.forEach(({ table, part = '', key }) => {
      if (!rows.delete(keyOf({ table, part, key }))) return;
      changes.push({ table, part, key, ver, tombstone: true });
    });
    [...waiters].forEach((wake) => wake());
    return ver;
  };

  const transact = (body, response) => {
    const { expect_rev: expected = [], writes = [], remove = [] } = JSON.parse(body.toString());
    const holds = expected.every((name) => (rows.get(keyOf(name))?.ver ?? 0) === name.ver);
    if (!holds) {
      const current = expected.flatMap((name) => rows.get(keyOf(name)) ?? []);
      send(response, 412, { rows: current, ver, now_ms: nowMs() });
      return;
    }
    send(response, 200, { ver: apply(writes, remove), now_ms: nowMs() });
  };

  const get = (query, response) => {
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const found = [...rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === part)
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length;
      if (page.length >= limit || (page.length > 0 && bytes > 1_000_000)) break;
      page.push(row);
    }
    send(response, 200, {
      rows: page,
      more_pages: page.length < found.length,
      ver,
      now_ms: nowMs(),
    });
  };

  const feed = (query, response) => {
    const after = Number(query.get('after'));
    const answer = () => {
      const changed = changes.filter((row) => row.table === query.get('table') && row.ver > after);
      send(response, 200, { rows: changed, ver, now_ms: nowMs() });
    };
    const hasChanges = () =>
      changes.some((row) => row.table === query.get('table') && row.ver > after);
    if (hasChanges()) {
      answer();
      return;
    }
    let timer;
    const wake = () => {
      if (!hasChanges()) return;
      clearTimeout(timer);
      waiters.delete(wake);
      answer();
    };
    waiters.add(wake);
    timer = setTimeout(
      () => {
        waiters.delete(wake);
        answer();
      },
      Number(query.get('wait_ms') ?? 0),
    );
    response.on('close', () => {
      clearTimeout(timer);
      waiters.delete(wake);
    });
  };

  const parts = (query, response) => {
    const names = [...rows.values()]
      .filter(({ table }) => table === query.get('table'))
      .map(({ part }) => part);
    send(response, 200, { parts: [...new Set(names)].sort(), more_pages: false });
  };

  const getStoredBytes = () =>
    [...objects.values()].reduce((total, { length }) => total + length, 0);

  const serveObject = (method, name, body, response) => {
    if (method === 'PUT') {
      const stop = transfers.start(
        body.length,
        () => undefined,
        () => {
          const storedBytes = getStoredBytes();
          if (storedBytes >= MAX_STORED_BYTES) {
            state.refusedWrites += 1;
            send(response, 507, {});
            return;
          }
          objects.set(name, body);
          send(response, 200, {});
        },
      );
      response.on('close', stop);
      return;
    }
    if (method === 'DELETE') {
      objects.delete(name);
      send(response, 200, {});
      return;
    }
    const content = objects.get(name);
    if (content === undefined) {
      response.writeHead(404, { 'content-length': 0 }).end();
      return;
    }
    let sent = 0;
    response.writeHead(200, { 'content-length': content.length });
    const stop = transfers.start(
      content.length,
      (bytes) => {
        response.write(content.subarray(sent, sent + bytes));
        sent += bytes;
      },
      () => {
        state.objectReads += 1;
        response.end();
      },
    );
    response.on('close', () => {
      if (sent < content.length) state.brokenOffReads += 1;
      stop();
    });
  };

  const serve = async (message, response) => {
    const url = new URL(message.url, 'http://store');
    const body = await readAll(message);
    state.calls += 1;
    const run = () => {
      const call = url.pathname.split('/')[2];
      const name = decodeURIComponent(url.pathname.split('/')[3] ?? '');
      if (call === 'rows-tx') transact(body, response);
      else if (call === 'rows-get') get(url.searchParams, response);
      else if (call === 'rows-feed') feed(url.searchParams, response);
      else if (call === 'rows-parts') parts(url.searchParams, response);
      else serveObject(message.method, name, body, response);
    };
    if (state.intercept?.({ message, url, body, response, run, transact, send }) === true) return;
    run();
  };

  const server = createServer((message, response) => {
    serve(message, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');
  return {
    address: `${host}:${server.address().port}`,
    state,
    nowMs,
    getStoredBytes,
    transfers,
    put: (table, key, value) => apply([{ table, key, value: encode(value) }]),
    remove: (table, key) => apply([], [{ table, key }]),
    rows: (table) => [...rows.values()].filter((row) => row.table === table),
    close: () => {
      transfers.close();
      server.closeAllConnections();
      server.close();
    },
  };
};
