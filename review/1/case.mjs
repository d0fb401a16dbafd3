/** A part of a prompt crashes each worker that begins to write an answer on it. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { newCallers } from '../callers.mjs';
import { sleep, startCluster } from '../cluster.mjs';
import { HOST, newConfig } from '../config.mjs';
import { newRecord } from '../record.mjs';

const KEY = 'key-of-one';
const HARMFUL_PART = 'bad0bad0';
const GATEWAYS = 3;
const WORKERS = 6;
/** Time to the first token. */
const FIRST_EVENT_MS = 50;
const SOUND_PER_SECOND = 12;
const HARMFUL_INTERVAL_MS = 2000;
const BEFORE_MS = 5000;
const HARMFUL_MS = 60_000;
/** The rule: requests with the part that may reach workers later than this after the fifth crash. */
const CONTACT_MS = 3000;
const FREE_CRASHES = 5;
const MAX_LATE = 3;

const isTrouble = process.env.TROUBLE !== '0';
const record = newRecord(dirname(fileURLToPath(import.meta.url)));
const attempts = new Map();
const harmfulRunsMs = [];
const crashesMs = [];
let promptCount = 0;

const hasHarmfulPart = (headers) =>
  String(headers['prompt-prefix'] ?? '').includes(`${HARMFUL_PART}:`);

/** Prompt with a shared part, one of 20 subjects and a part of its own. */
const newPrompt = (middle) => {
  promptCount += 1;
  const subject = `5b${(promptCount % 20).toString(16).padStart(2, '0')}`;
  const own = `f0${promptCount.toString(16).padStart(6, '0')}`;
  return {
    model: 'm',
    'token-count': '450,36',
    'prompt-prefix': `aa01:100,${subject}:100,${middle}${own}:250`,
  };
};

const play = async ({ gateways }) => {
  const callers = newCallers({ host: HOST, key: KEY, attempts, record });
  gateways.forEach((gateway) =>
    callers.start(gateway, SOUND_PER_SECOND / GATEWAYS, () => newPrompt('')),
  );
  await sleep(BEFORE_MS);
  const untilMs = performance.now() + HARMFUL_MS;
  for (let turn = 0; performance.now() < untilMs; turn += 1) {
    const middle = isTrouble ? `${HARMFUL_PART}:100,` : '';
    callers.send(gateways[turn % GATEWAYS], newPrompt(middle));
    await sleep(HARMFUL_INTERVAL_MS);
  }
  callers.close();
};

const onRun = ({ requestId, worker, headers }) => {
  const isHarmful = hasHarmfulPart(headers);
  if (isHarmful) harmfulRunsMs.push(performance.now());
  record.add(`${requestId} ${isHarmful ? 'with the harmful part ' : ''}runs at ${worker}`);
};

const getVerdict = () => {
  const fifthMs = crashesMs[FREE_CRASHES - 1] ?? Infinity;
  const late = harmfulRunsMs.filter((ranMs) => ranMs > fifthMs + CONTACT_MS).length;
  const served = [...attempts.values()].filter(({ status }) => status === 200).length;
  const summary =
    `sent ${attempts.size}, served ${served}, crashes ${crashesMs.length}; ` +
    `with the part, ${CONTACT_MS} ms after the fifth crash: ${late} runs, bound ${MAX_LATE}`;
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  if (served < 100) return 2;
  return late > MAX_LATE ? 1 : 0;
};

const main = async () => {
  const cluster = await startCluster({
    gatewayCount: GATEWAYS,
    workers: {
      count: WORKERS,
      slots: 8,
      options: {
        firstEventMs: FIRST_EVENT_MS,
        isCrash: hasHarmfulPart,
        crashAfterEvents: 1,
      },
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
