/** Plays a case of the rule QUOTA: a tenant sends many times its usual, and a disruption comes. */
import { newCallers } from './callers.mjs';
import { sleep, startCluster, waitForReady } from './cluster.mjs';
import { HOST, newConfig } from './config.mjs';
import { getBound, getWorstWindow } from './quota.mjs';
import { newRecord } from './record.mjs';

const KEY = 'key-of-one';
/** The quota is 1.6 times the usual rate; in between, the tenant sends 7.5 times its usual. */
const TENANT = { name: 'one', api_keys: [KEY], rate_per_s: 100, burst: 100 };
const USUAL_PER_SECOND = 62;
const HOT_PER_SECOND = 7.5 * USUAL_PER_SECOND;
const SETTLING_MS = 3000;
/** Times of one round: the usual traffic, and that of a tenant that sends many times its usual. */
const USUAL_MS = 5000;
const LEAD_MS = 2000;
const HOT_MS = 6500;
/** Least number of runs of a case that counts. */
const MIN_RUNS = 500;

const playRounds = async (plan, { gateways }, callers, record) => {
  const startAll = (perSecond) => {
    const ends = gateways.map((gateway, index) =>
      callers.start(gateway, perSecond * plan.shares[index]),
    );
    return () => ends.forEach((end) => end());
  };
  await sleep(SETTLING_MS);
  const endUsual = startAll(USUAL_PER_SECOND);
  for (let round = 0; round < plan.rounds; round += 1) {
    await sleep(USUAL_MS);
    const disturb = async () => {
      await sleep(LEAD_MS + plan.disturbAfterMs);
      if (plan.isTrouble) await plan.disturb(gateways, round);
    };
    const disturbed = disturb();
    await sleep(LEAD_MS);
    record.add('the tenant sends 7.5 times its usual');
    const endHot = startAll(HOT_PER_SECOND - USUAL_PER_SECOND);
    await sleep(HOT_MS);
    endHot();
    await disturbed;
    await Promise.all(gateways.map(waitForReady));
  }
  endUsual();
  await sleep(1000);
};

const play = async (plan, record) => {
  const attempts = new Map();
  const runs = [];
  const cluster = await startCluster({
    gatewayCount: plan.shares.length,
    workers: { count: 6, slots: 64 },
    config: newConfig(1, [TENANT]),
    onRun: ({ requestId, worker }) => {
      runs.push({ requestId, ranMs: performance.now() });
      record.add(`${requestId} runs at ${worker}`);
    },
    record,
  });
  const callers = newCallers({ host: HOST, key: KEY, attempts, record });
  try {
    await playRounds(plan, cluster, callers, record);
  } finally {
    callers.close();
    await cluster.close();
  }
  const bound = getBound(TENANT);
  const { count } = getWorstWindow(attempts, runs);
  const summary = `sent ${attempts.size}, run ${runs.length}; worst window ${count}, bound ${bound}`;
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  if (runs.length < MIN_RUNS) return 2;
  return count > bound ? 1 : 0;
};

/** Plays a case, writes its record, and ends this process with the verdict as its exit code. */
export const playQuotaCase = async (folder, plan) => {
  const record = newRecord(folder);
  const code = await play(plan, record).catch((error) => {
    process.stderr.write(`${error.stack}\n`);
    return 2;
  });
  record.write();
  process.exit(code);
};
