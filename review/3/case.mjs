/** All gateways are killed at once while a tenant sends many times its usual. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '../cluster.mjs';
import { playQuotaCase } from '../quotaCase.mjs';

/** Time from the end of the processes to their start. */
const RESTART_DELAY_MS = 500;

const killAll = async (gateways) => {
  gateways.forEach((gateway) => gateway.signal('SIGKILL'));
  await Promise.all(gateways.map((gateway) => gateway.waitForExit()));
  await sleep(RESTART_DELAY_MS);
  gateways.forEach((gateway) => gateway.start());
};

await playQuotaCase(dirname(fileURLToPath(import.meta.url)), {
  shares: [1 / 3, 1 / 3, 1 / 3],
  rounds: 4,
  disturbAfterMs: 700,
  isTrouble: process.env.TROUBLE !== '0',
  disturb: killAll,
});
