// Memory of a gateway while clients request the bodies of items of a large batch job.
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { beat, HOST, KEY, newConfig, newWorkerRow, startWorker } from '../kit-2/cluster.mjs';
import { call, sleep, startGateway } from '../kit-2/gateways.mjs';
import { count, newId, runCase } from '../kit-2/record.mjs';
import { startStore } from '../kit-2/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const FOLDER = dirname(fileURLToPath(import.meta.url));

/** `memory_mb` of the site's machines, in MB of the process's own memory, without mapped files. */
const MEMORY_MB = 220;
const ITEMS = 200;
const ITEM_BYTES = 15_000;
/** Bodies that clients request at the same moment from one gateway. */
const READERS = 24;
const ROUNDS = 5;
/** Ends of processes at a machine, and machines, from which the rule is broken. */
const MIN_ENDS = 3;
const SAMPLE_MS = 4;

const getOwnMemoryMb = (pid) => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^RssAnon:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1000;
  } catch {
    return 0;
  }
};

/** A machine of the platform, which kills a process that exceeds its memory. */
const newMachine = (first) => {
  let gateway = first;
  let isKilled = false;
  let ends = 0;
  let peakMb = 0;
  return {
    getGateway: () => gateway,
    isKilled: () => isKilled,
    countEnds: () => ends,
    takePeakMb: () => {
      const mb = peakMb;
      peakMb = 0;
      return mb;
    },
    exceeds: () => {
      if (gateway.hasEnded() || isKilled) return false;
      const ownMb = getOwnMemoryMb(gateway.pid);
      peakMb = Math.max(peakMb, ownMb);
      return ownMb > MEMORY_MB;
    },
    kill: (say) => {
      isKilled = true;
      ends += 1;
      say(`${gateway.name} has ${Math.round(peakMb)} MB and is killed`);
      gateway.signal('SIGKILL');
    },
    replace: (next) => {
      gateway = next;
      isKilled = false;
    },
  };
};

runCase(join(FOLDER, 'record.txt'), 110_000, async ({ say, show }, onClose) => {
  const headers = { host: HOST, authorization: `Bearer ${KEY}` };
  const store = await startStore('127.0.0.1');
  onClose(store.close);
  store.put('op', 'config', newConfig(1));
  // The items run for the whole case, so that none of them is listed.
  const worker = await startWorker('127.0.0.1', 'i-1', { events: 2000, eventMs: 100 });
  onClose(worker.close);
  const heartbeat = beat(store, () => ({ 'i-1': newWorkerRow(worker.address) }));
  onClose(() => clearInterval(heartbeat));

  const machines = await Promise.all(
    ['edge-1', 'edge-2'].map(async (name, index) =>
      newMachine(await startGateway(name, `127.0.0.${91 + index}`, store, MEMORY_MB)),
    ),
  );
  onClose(() => Promise.all(machines.map(({ getGateway }) => getGateway().end())));
  const watch = setInterval(
    () => machines.filter((machine) => machine.exceeds()).forEach((machine) => machine.kill(say)),
    SAMPLE_MS,
  );
  onClose(() => clearInterval(watch));
  await sleep(2000);

  const job = newId();
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: newId(),
    path: `/review/3/${index}`,
    headers: { Model: 'm', 'Token-Count': '350,157' },
    body: randomBytes(ITEM_BYTES).toString('base64'),
    token_count: 507,
  }));
  const submission = await call(machines[0].getGateway(), {
    path: '/review/new',
    headers: { ...headers, 'request-id': job, 'content-type': 'application/json' },
    body: JSON.stringify({ requests: items }),
  });
  show(`batch job ${job} with ${ITEMS} items: ${submission.status}`);
  await sleep(3000);

  const readBody = async (gateway, { id, body }) => {
    const answer = await call(gateway, {
      method: 'GET',
      path: `/v1/items/${job}?id=${id}`,
      headers,
    });
    const isRight = answer.status === 200 && answer.body.equals(Buffer.from(body, 'base64'));
    say(`${gateway.name}, body of ${id}: ${answer.status} ${answer.end} after ${answer.ms} ms`);
    return isRight ? 'right' : `${answer.status} ${answer.end}`;
  };
  const readAll = async (gateway, wanted) => {
    if (HAS_TROUBLE) return Promise.all(wanted.map((item) => readBody(gateway, item)));
    const answers = [];
    for (const item of wanted) answers.push(await readBody(gateway, item));
    return answers;
  };
  for (let round = 1; round <= ROUNDS; round += 1) {
    for (const machine of machines) {
      const from = ((round - 1) * READERS) % ITEMS;
      const answers = await readAll(machine.getGateway(), items.slice(from, from + READERS));
      await sleep(500);
      const isKilled = machine.isKilled();
      show(
        `round ${round}, ${machine.getGateway().name}: ${count(answers)}, at most ` +
          `${Math.round(machine.takePeakMb())} MB${isKilled ? ', killed' : ''}`,
      );
      if (isKilled) {
        const { name, host, ports, exited } = machine.getGateway();
        await exited;
        await sleep(500);
        machine.replace(await startGateway(name, host, store, MEMORY_MB, ports));
      }
      await sleep(2000);
    }
  }
  show(
    `processes over ${MEMORY_MB} MB: ${machines.map((machine) => machine.countEnds()).join(' and ')} times`,
  );
  return machines.some((machine) => machine.countEnds() < MIN_ENDS);
});
