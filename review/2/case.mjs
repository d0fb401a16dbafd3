/** A sound worker falls silent for a second in its answer, and goes on. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { newCallers } from '../callers.mjs';
import { sleep, startCluster } from '../cluster.mjs';
import { HOST, newConfig } from '../config.mjs';
import { startPlainWorker } from '../plainWorker.mjs';
import { newRecord } from '../record.mjs';

const KEY = 'key-of-one';
const GATEWAYS = 3;
const WORKERS = 6;
const WORK_MS = 1150;
const SILENCE_MS = 1000;
const REQUESTS = 40;
const REQUEST_INTERVAL_MS = 500;
const PATIENCE_MS = 4000;
/** `max_attempts` of the route, and how many requests may run at more workers. */
const MAX_ATTEMPTS = 2;
const MAX_EXCEPTIONS = 3;

const isTrouble = process.env.TROUBLE !== '0';
const record = newRecord(dirname(fileURLToPath(import.meta.url)));
const attempts = new Map();
/** Workers that have begun to run each request. */
const workersById = new Map();

const onRun = ({ requestId, worker }) => {
  workersById.set(requestId, [...(workersById.get(requestId) ?? []), worker]);
  record.add(`${requestId} runs at ${worker}`);
};

/** The worker that runs a request first falls silent once. */
const getSilenceMs = (requestId) =>
  isTrouble && workersById.get(requestId).length === 1 ? SILENCE_MS : 0;

const play = async ({ gateways }) => {
  const callers = newCallers({
    host: HOST,
    key: KEY,
    attempts,
    record,
    path: '/status/1',
    patienceMs: PATIENCE_MS,
  });
  for (let count = 0; count < REQUESTS; count += 1) {
    callers.send(gateways[count % GATEWAYS]);
    await sleep(REQUEST_INTERVAL_MS);
  }
  await sleep(PATIENCE_MS);
  callers.close();
};

const getVerdict = () => {
  const served = [...attempts.values()].filter(({ status }) => status === 200).length;
  const beyond = [...workersById].filter(([, workers]) => new Set(workers).size > MAX_ATTEMPTS);
  beyond.forEach(([id, workers]) => record.add(`${id} has run at ${workers.join(', ')}`));
  const summary =
    `sent ${attempts.size}, served ${served}; run at more than ${MAX_ATTEMPTS} workers: ` +
    `${beyond.length} requests, bound ${MAX_EXCEPTIONS}`;
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  if (attempts.size < REQUESTS || workersById.size < REQUESTS) return 2;
  return beyond.length > MAX_EXCEPTIONS ? 1 : 0;
};

const main = async () => {
  const cluster = await startCluster({
    gatewayCount: GATEWAYS,
    workers: {
      count: WORKERS,
      slots: 8,
      start: startPlainWorker,
      options: { workMs: WORK_MS, getSilenceMs },
    },
    config: newConfig(1, [{ name: 'one', api_keys: [KEY], rate_per_s: 0, burst: 0 }]),
    onRun,
    record,
  });
  try {
    await sleep(3000);
    await play(cluster);
  } finally {
    await cluster.close();
  }
  return getVerdict();
};

main()
  .catch((error) => {
    process.stderr.write(`${error.stack}\n`);
    return 2;
  })
  .then((code) => {
    record.write();
    process.exit(code);
  });
