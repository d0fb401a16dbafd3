/** A request crashes each worker that runs it and comes again; all gateways are killed in between. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { newCallers } from '../callers.mjs';
import { sleep, startCluster, waitForReady } from '../cluster.mjs';
import { HOST, newConfig } from '../config.mjs';
import { newRecord } from '../record.mjs';

const KEY = 'key-of-one';
const GATEWAYS = 3;
const SOUND_PER_SECOND = 12;
const HARMFUL_BODY = 'the request that crashes workers';
const HARMFUL_HEADER = 'x-harmful';
const LIVES = 4;
const HARMFUL_PER_LIFE = 2;
/** Longer than it takes a gateway to be in touch after its start. */
const HARMFUL_INTERVAL_MS = 3500;
const RESTART_DELAY_MS = 500;
/** The rule: retries that may reach workers later than this after the third crash. */
const CONTACT_MS = 3000;
const FREE_CRASHES = 3;
const MAX_LATE = 3;

const isTrouble = process.env.TROUBLE !== '0';
const record = newRecord(dirname(fileURLToPath(import.meta.url)));
const attempts = new Map();
/** Times at which the harmful request reached workers, sent by gateways in touch. */
const harmfulRunsMs = [];
const crashesMs = [];
let startedMs = -Infinity;

const isHarmful = (headers) => headers[HARMFUL_HEADER] !== undefined;

const onRun = ({ requestId, worker, headers }) => {
  const nowMs = performance.now();
  const isInTouch = nowMs - startedMs > CONTACT_MS;
  if (isHarmful(headers) && isInTouch) harmfulRunsMs.push(nowMs);
  record.add(`${requestId} ${isHarmful(headers) ? '(harmful) ' : ''}runs at ${worker}`);
};

const killAll = async (gateways) => {
  gateways.forEach((gateway) => gateway.signal('SIGKILL'));
  await Promise.all(gateways.map((gateway) => gateway.waitForExit()));
  await sleep(RESTART_DELAY_MS);
  gateways.forEach((gateway) => gateway.start());
  await Promise.all(gateways.map(waitForReady));
  startedMs = performance.now();
};

const play = async ({ gateways }) => {
  const callers = newCallers({ host: HOST, key: KEY, attempts, record });
  gateways.forEach((gateway) => callers.start(gateway, SOUND_PER_SECOND / GATEWAYS));
  for (let life = 0; life < LIVES; life += 1) {
    for (let turn = 0; turn < HARMFUL_PER_LIFE; turn += 1) {
      await sleep(HARMFUL_INTERVAL_MS);
      const gateway = gateways[(life + turn) % GATEWAYS];
      callers.send(gateway, { [HARMFUL_HEADER]: '1' }, HARMFUL_BODY);
    }
    await sleep(1000);
    if (isTrouble) await killAll(gateways);
  }
  callers.close();
};

const getVerdict = () => {
  const thirdMs = crashesMs[FREE_CRASHES - 1] ?? Infinity;
  const late = harmfulRunsMs.filter((ranMs) => ranMs > thirdMs + CONTACT_MS).length;
  const served = [...attempts.values()].filter(({ status }) => status === 200).length;
  const summary =
    `sent ${attempts.size}, served ${served}, crashes ${crashesMs.length}; ` +
    `retries ${CONTACT_MS} ms after the third crash: ${late}, bound ${MAX_LATE}`;
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  if (served < 100) return 2;
  return late > MAX_LATE ? 1 : 0;
};

const main = async () => {
  const cluster = await startCluster({
    gatewayCount: GATEWAYS,
    workers: {
      count: 6,
      slots: 8,
      options: { firstEventMs: 50, isCrash: isHarmful, crashAfterEvents: 0 },
    },
    config: newConfig(1, [{ name: 'one', api_keys: [KEY], rate_per_s: 0, burst: 0 }]),
    onRun,
    onCrash: () => crashesMs.push(performance.now()),
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
