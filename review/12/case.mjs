/**
 * One of two workers sends bytes that are no answer in place of some of its answers: a head and a body of HTTP
 * that bear neither the request's id nor a worker's signature.
 */
import { createServer } from 'node:http';
import {
  HOST,
  call,
  newConfig,
  newMachine,
  newRoute,
  newWorkerRow,
  sleep,
  startStore,
  waitUntilReady,
} from '../kit-3/cluster.mjs';
import { hasTrouble, runCase } from '../kit-3/runCase.mjs';

/** Every so many answers of the worker in trouble are spoiled: under three in a hundred. */
const SPOILED_EVERY = 34;
/** The trouble lasts 5 s at a time, with 5 s between. */
const TROUBLE_MS = 5000;
const isInTrouble = () => performance.now() % (2 * TROUBLE_MS) < TROUBLE_MS;
const REQUESTS = 300;
const JOBS = 10;
const ITEMS_PER_JOB = 40;
const EVENTS = 8;
const EVENT_MS = 5;

const getEvents = (id) =>
  Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`);
const getOutput = (id) =>
  Array.from({ length: EVENTS }, (_, index) => `${id} ${index + 1}`).join('\n');

/** A worker; `isSpoiling` tells whether its trouble may spoil an answer. */
const startWorker = async (id, isSpoiling, note) => {
  let answers = 0;
  const server = createServer((message, response) => {
    message.resume().on('end', async () => {
      const requestId = message.headers['request-id'];
      if (message.headers['expect-instance'] !== id) {
        response.writeHead(421, { 'Instance-Id': id }).end();
        return;
      }
      answers += 1;
      const isStream = message.url.includes('/stream/');
      note(`${id} runs ${requestId}`);
      if (isSpoiling && isInTrouble() && answers % SPOILED_EVERY === 0) {
        note(`${id} sends bytes that are no answer in place of the answer to ${requestId}`);
        const type = isStream ? 'text/event-stream' : 'text/plain';
        const body = isStream ? 'id: 1\ndata: no answer\n\n' : 'no answer';
        response.socket.end(
          `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        );
        return;
      }
      const stamp = { 'Server-Stamp': `stamp.${id}`, 'Request-Id': requestId };
      if (!isStream) {
        response.writeHead(200, stamp).end(`answer to ${requestId}`);
        return;
      }
      response.writeHead(200, { ...stamp, 'Content-Type': 'text/event-stream' });
      const resumedAfter = Number(message.headers['last-event-id'] ?? 0);
      for (const event of getEvents(requestId).slice(resumedAfter)) {
        await sleep(EVENT_MS);
        response.write(event);
      }
      response.end();
    });
  });
  await new Promise((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  return { id, address: `127.0.0.1:${server.address().port}` };
};

const newJob = (job) =>
  JSON.stringify({
    requests: Array.from({ length: ITEMS_PER_JOB }, (_, index) => ({
      id: `${job}-item${index}`,
      path: '/jobs/stream/item',
      headers: { Model: 'm', 'Token-Count': '50,8', 'Prompt-Prefix': `aa:40,${job}${index}:10` },
      body: 'eA==',
      token_count: 58,
    })),
  });

runCase(import.meta.url, async (note) => {
  const store = await startStore();
  const routes = [
    newRoute({ name: 'safe', prefix: '/safe/', kind: 'safe' }),
    newRoute({ name: 'jobs', prefix: '/jobs/', kind: 'batch', due_ms: 18000, max_queue_s: 60 }),
  ];
  store.putRow('op', 'config', newConfig(1, routes));
  const workers = [
    await startWorker('sound', false, note),
    await startWorker('faulty', hasTrouble, note),
  ];
  workers.forEach((worker) => store.putRow('servers', worker.id, newWorkerRow(worker)));
  const machines = [
    await newMachine('vm-1', '127.0.0.11', store.address),
    await newMachine('vm-2', '127.0.0.12', store.address),
  ];
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map(waitUntilReady));
  await sleep(1000);

  let violations = 0;
  let unsigned = 0;
  const report = (text) => {
    violations += 1;
    note(`VIOLATION ${text}`);
  };
  for (let index = 0; index < REQUESTS; index += 1) {
    const id = `request${index}`;
    note(`client sends ${id}`);
    const answer = await call(machines[index % 2], id, { path: '/safe/x', body: 'x' });
    note(`client gets ${answer.status} ${answer.headers['server-stamp']} for ${id}`);
    if (answer.status === 200 && answer.headers['server-stamp'] === undefined) {
      unsigned += 1;
      report(`${id}: a success without Server-Stamp, with the body "${answer.body}"`);
    }
  }
  const jobs = Array.from({ length: JOBS }, (_, index) => `job${index}`);
  for (const [index, job] of jobs.entries()) {
    const { status } = await call(machines[index % 2], job, { path: '/jobs/x', body: newJob(job) });
    note(`client gets ${status} for ${job}`);
    if (status !== 202) throw new Error(`${job}: ${status}`);
  }
  let wrong = 0;
  for (const [index, job] of jobs.entries()) {
    const results = [];
    for (let attempt = 0; attempt < 100 && results.length < ITEMS_PER_JOB; attempt += 1) {
      const answer = await call(machines[(index + 1) % 2], `read-${job}-${attempt}`, {
        method: 'GET',
        path: `/v1/lots/${job}?after=${results.length}`,
        headers: { Host: HOST, 'Wait-Ms': '1000' },
      });
      if (answer.status === 200) results.push(...JSON.parse(answer.body).results);
    }
    note(`client reads ${results.length} results of ${job}`);
    const spoiled = results.filter(
      ({ id, state, output }) => state === 'succeeded' && output !== getOutput(id),
    );
    wrong += spoiled.length;
    spoiled.forEach(({ id, output }) =>
      report(`${id}: succeeded with the output ${JSON.stringify(output)}`),
    );
  }
  note(`RESULT ${unsigned} successes without Server-Stamp, ${wrong} results that are no output`);
  return violations;
});
