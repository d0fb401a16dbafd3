/**
 * One part of prompts crashes each worker that begins to write an answer on it. Requests with that part come in
 * groups: five at a time, no two alike, at all machines, a group every five seconds.
 */
import {
  call,
  newConfig,
  newMachine,
  newRoute,
  newWorkerRow,
  sleep,
  startStore,
  startWorker,
  waitUntilReady,
} from '../kit-3/cluster.mjs';
import { hasTrouble, runCase } from '../kit-3/runCase.mjs';

const MACHINES = 3;
const WORKERS = 6;
const GROUPS = 8;
const GROUP_SIZE = 5;
const GROUP_INTERVAL_MS = 5000;
/** Time after which a crashed worker is back. */
const RESTART_MS = 2500;
const SOUND_INTERVAL_MS = 40;
const WARM_UP_MS = 6000;
/** `contact_ms` of the site. */
const CONTACT_MS = 3000;
/** Crashes, and requests with the part that may reach workers after them. */
const CRASHES = 5;
const ALLOWED = 3;

const newHeaders = (prefix) => ({ Model: 'm', 'Token-Count': '300,12', 'Prompt-Prefix': prefix });

runCase(import.meta.url, async (note) => {
  const store = await startStore();
  const route = newRoute({ name: 'stream', prefix: '/stream/', kind: 'stream', max_attempts: 1 });
  store.putRow('op', 'config', newConfig(1, [route]));
  const arrivals = [];
  const crashesMs = [];

  const beginWorker = async (id) => {
    const worker = await startWorker(id);
    worker.setBehaviour({
      eventMs: 15,
      isCrashing: ({ requestId, headers }) => {
        if (!String(headers['prompt-prefix']).includes('bad0:')) return false;
        arrivals.push({ requestId, atMs: performance.now() });
        note(`${id} gets ${requestId}, which has the part bad0`);
        return hasTrouble;
      },
    });
    store.putRow('servers', id, newWorkerRow(worker, { born: Date.now() }));
    worker.crashed.then(async () => {
      crashesMs.push(performance.now());
      note(`${id} has crashed: crash ${crashesMs.length}`);
      await sleep(RESTART_MS);
      await beginWorker(id);
      note(`${id} is back`);
    });
  };

  for (let index = 1; index <= WORKERS; index += 1) await beginWorker(`worker${index}`);
  const machines = [];
  for (let index = 1; index <= MACHINES; index += 1) {
    machines.push(await newMachine(`vm-${index}`, `127.0.0.${10 + index}`, store.address));
  }
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map(waitUntilReady));
  await sleep(1000);

  const sound = { sent: 0, served: 0 };
  const sendSound = async () => {
    const id = `sound${sound.sent}`;
    const machine = machines[sound.sent % MACHINES];
    sound.sent += 1;
    const prefix = `aa:200,c${sound.sent}:100`;
    const headers = newHeaders(prefix);
    const { status } = await call(machine, id, { path: '/stream/s', body: id, headers });
    if (status === 200) sound.served += 1;
  };
  const soundTimer = setInterval(sendSound, SOUND_INTERVAL_MS);
  await sleep(WARM_UP_MS);

  for (let group = 1; group <= GROUPS; group += 1) {
    const sends = Array.from({ length: GROUP_SIZE }, async (_, index) => {
      const id = `group${group}-${index}`;
      const headers = newHeaders(`aa:200,bad0:50,d${group}${index}:50`);
      note(`client sends ${id}, which has the part bad0`);
      const answer = await call(machines[index % MACHINES], id, {
        path: '/stream/b',
        body: id,
        headers,
      });
      note(`client gets ${answer.status} for ${id}`);
    });
    await Promise.all(sends);
    await sleep(GROUP_INTERVAL_MS);
  }
  clearInterval(soundTimer);
  note(
    `RESULT ${sound.served} of ${sound.sent} sound requests served, ${crashesMs.length} crashes`,
  );
  const fifthMs = crashesMs[CRASHES - 1] ?? Infinity;
  const late = arrivals.filter(({ atMs }) => atMs > fifthMs + CONTACT_MS);
  note(
    `RESULT ${late.length} requests with the part reached workers later than contact_ms after the ` +
      `fifth crash; ${ALLOWED} may: ${late.map(({ requestId }) => requestId).join(' ')}`,
  );
  return late.length > ALLOWED ? late.length : 0;
});
