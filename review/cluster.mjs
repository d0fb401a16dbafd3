/** Small deployment: the project's store stand-in, sound workers, and gateways as processes. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createRequire } from 'node:module';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startWorker } from './worker.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');
const { startStoreStandIn } = createRequire(import.meta.url)(
  join(ROOT, 'target/review/storeStandIn.cjs'),
);
const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const REREGISTER_MS = 1200;
/** Bounds and rates of the platform, as the users' pages give them. */
const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  contact_ms: 3000,
  config_apply_ms: 2000,
  revoke_ms: 5000,
  strict_revoke: true,
  quota_window_s: 5,
  quota_overrun: 0.1,
  quota_slack: 20,
  finish_s: 18,
  status_s: 120,
  cancel_ms: 3000,
  settle_ms: 1000,
};

/** Resolves after a time in milliseconds. */
export const sleep = (ms) =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

const getFreePort = async (host) => {
  const server = createServer();
  server.listen(0, host);
  await once(server, 'listening');
  const { port } = server.address();
  server.close();
  await once(server, 'close');
  return port;
};

/** Command of the deploy file that runs a gateway, as words. */
const getRunCommand = () => {
  const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(deployFile)[1].split(' ');
};

const getStatus = (host, port, path) =>
  new Promise((done) => {
    const call = request({ host, port, path, agent: false, timeout: 500 }, (message) => {
      message.resume();
      done(message.statusCode);
    });
    call.on('timeout', () => call.destroy());
    call.on('error', () => done(0));
    call.end();
  });

const newGateway = async (index, folder, storeAddress, record) => {
  const name = `edge-${index + 1}`;
  const host = `127.0.${10 + (process.pid % 200)}.${index + 1}`;
  const [front, readiness, peers] = await Promise.all([1, 2, 3].map(() => getFreePort(host)));
  const file = join(folder, `${name}.json`);
  let bootstrap = true;
  let child;
  const gateway = {
    name,
    host,
    port: front,
    logs: [],
    /** Starts the process, with the command of the deploy file. */
    start: () => {
      writeFileSync(
        file,
        JSON.stringify({
          node_name: name,
          role: 'gateway',
          machine_class: 'edge',
          serves: ['edge'],
          ip: host,
          zone: ZONES[index % ZONES.length],
          region: 'region-1',
          listen: { front: `${host}:${front}`, readiness: `${host}:${readiness}` },
          internal_ports: [peers, peers],
          bootstrap,
          heartbeat_ms: 1200,
          bounds: BOUNDS,
          platform: { address: storeAddress, form: 'table' },
        }),
      );
      bootstrap = false;
      const [program, ...words] = getRunCommand();
      child = spawn(program === 'node' ? process.execPath : program, words, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: folder, ANVILPADDLE_CONFIG: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      [child.stdout, child.stderr].forEach((stream) =>
        stream.on('data', (chunk) => gateway.logs.push(chunk.toString())),
      );
      record.add(`${name} started`);
    },
    /** Sends a signal to the process. */
    signal: (signalName) => {
      record.add(`${name} gets ${signalName}`);
      child.kill(signalName);
    },
    waitForExit: async () => {
      if (child.exitCode === null && child.signalCode === null) await once(child, 'exit');
    },
    isReady: async () => (await getStatus(host, readiness, '/v1/ready')) === 200,
    stop: async () => {
      if (child === undefined) return;
      child.kill('SIGKILL');
      await gateway.waitForExit();
    },
  };
  return gateway;
};

/** Waits until a gateway is ready; fails after a time. */
export const waitForReady = async (gateway) => {
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  while (!(await gateway.isReady())) {
    if (performance.now() > untilMs) throw new Error(`${gateway.name} is not ready`);
    await sleep(READY_POLL_MS);
  }
};

/** Starts a deployment and waits until its gateways are ready. */
export const startCluster = async (options) => {
  const { gatewayCount, workers: plan, config, onRun, onCrash = () => {}, record } = options;
  const folder = mkdtempSync(join(tmpdir(), 'anvilpaddle-review-'));
  const store = await startStoreStandIn();
  /** Starts of the workers, in Unix milliseconds; undefined while one is away. */
  const bornMs = new Map();
  /** Workers from which the store does not hear. */
  const silentIds = new Set();
  const hooks = {
    onRun,
    onCrash: (id) => {
      bornMs.delete(id);
      onCrash();
      record.add(`${id} crashes`);
    },
    onBack: (id) => {
      bornMs.set(id, Date.now());
      record.add(`${id} is back`);
      // eslint-disable-next-line no-use-before-define -- called after all have started
      registerWorkers();
    },
  };
  const workers = await Promise.all(
    Array.from({ length: plan.count }, (_, index) =>
      (plan.start ?? startWorker)(`w-${index + 1}`, '127.0.0.1', hooks, plan.options),
    ),
  );
  workers.forEach(({ id }) => bornMs.set(id, Date.now()));
  let seq = 0;
  const registerWorkers = () => {
    seq += 1;
    workers.forEach((worker, index) => {
      if (!bornMs.has(worker.id) || silentIds.has(worker.id)) return;
      store.putRow('servers', worker.id, {
        service: 'models',
        address: worker.address,
        zone: ZONES[index % ZONES.length],
        version: 'v1',
        slots: plan.slots,
        state: 'ready',
        cold_left_ms: 0,
        seq,
        born: bornMs.get(worker.id),
      });
    });
  };
  store.putRow('op', 'config', config);
  registerWorkers();
  const heartbeats = setInterval(registerWorkers, REREGISTER_MS);
  const gateways = await Promise.all(
    Array.from({ length: gatewayCount }, (_, index) =>
      newGateway(index, folder, store.address, record),
    ),
  );
  const close = async () => {
    clearInterval(heartbeats);
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    workers.forEach((worker) => worker.close());
    await store.close();
    rmSync(folder, { recursive: true, force: true });
  };
  try {
    gateways.forEach((gateway) => gateway.start());
    await Promise.all(gateways.map(waitForReady));
  } catch (error) {
    await close();
    throw error;
  }
  return {
    store,
    workers,
    gateways,
    /** The worker's entry lapses, as if the store did not hear from it. */
    removeEntry: (id) => {
      silentIds.add(id);
      store.deleteRow('servers', id);
      record.add(`the entry of ${id} is removed`);
    },
    /** The store hears from the worker again. */
    restoreEntry: (id) => {
      silentIds.delete(id);
      record.add(`the entry of ${id} is back`);
      registerWorkers();
    },
    close,
  };
};
