/**
 * One of two workers spoils some of its answers to batch items: after a proper head come bytes that are no answer
 * (text in the form of an event, but without an id), and the connection is reset.
 */
import {
  call,
  newConfig,
  newMachine,
  newRoute,
  newWorkerRow,
  sleep,
  startStore,
  waitUntilReady,
} from '../kit-3/cluster.mjs';
import { newAnswerHeaders, startRawWorker } from '../kit-3/rawWorker.mjs';
import { hasTrouble, runCase } from '../kit-3/runCase.mjs';

/** Every so many answers of the worker in trouble are spoiled: under three in a hundred. */
const SPOILED_EVERY = 34;
/** The trouble lasts 5 s at a time, with 5 s between. */
const TROUBLE_MS = 5000;
const isInTrouble = () => performance.now() % (2 * TROUBLE_MS) < TROUBLE_MS;
const JOBS = 20;
const ITEMS = 40;
const EVENTS = 8;
const EVENT_MS = 5;
/** Time between the bytes and the reset, so that they arrive first. */
const RESET_DELAY_MS = 200;

const getEvents = (id) =>
  Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`);
const getOutput = (id) =>
  Array.from({ length: EVENTS }, (_, index) => `${id} ${index + 1}`).join('\n');

const newJob = (job) =>
  JSON.stringify({
    requests: Array.from({ length: ITEMS }, (_, index) => ({
      id: `${job}-item${index}`,
      path: '/jobs/stream/item',
      headers: { Model: 'm', 'Token-Count': '50,8', 'Prompt-Prefix': `aa:40,${job}${index}:10` },
      body: 'eA==',
      token_count: 58,
    })),
  });

runCase(import.meta.url, async (note) => {
  const store = await startStore();
  const route = newRoute({
    name: 'jobs',
    prefix: '/jobs/',
    kind: 'batch',
    due_ms: 18000,
    max_queue_s: 60,
    max_attempts: 3,
  });
  store.putRow('op', 'config', newConfig(1, [route]));

  let spoiled = 0;
  const newServe = (id, isSpoiling) => {
    let answers = 0;
    return async (message, response) => {
      const requestId = message.headers['request-id'];
      const resumedAfter = message.headers['last-event-id'];
      answers += 1;
      note(`${id} runs ${requestId}, asked to go on after event ${resumedAfter ?? 'none'}`);
      response.writeHead(200, {
        ...newAnswerHeaders(id, message),
        'Content-Type': 'text/event-stream',
      });
      if (isSpoiling && isInTrouble() && answers % SPOILED_EVERY === 0) {
        spoiled += 1;
        note(`${id} sends bytes that are no answer to ${requestId}, and resets the connection`);
        response.write('data: no answer\n\n');
        await sleep(RESET_DELAY_MS);
        response.socket?.resetAndDestroy();
        return;
      }
      for (const event of getEvents(requestId).slice(Number(resumedAfter ?? 0))) {
        await sleep(EVENT_MS);
        response.write(event);
      }
      response.end();
    };
  };
  for (const [id, isSpoiling] of [
    ['sound', false],
    ['faulty', hasTrouble],
  ]) {
    const worker = await startRawWorker(id, newServe(id, isSpoiling));
    store.putRow('servers', worker.id, newWorkerRow(worker));
  }
  const machines = [
    await newMachine('vm-1', '127.0.0.21', store.address),
    await newMachine('vm-2', '127.0.0.22', store.address),
  ];
  machines.forEach((machine) => machine.start());
  await Promise.all(machines.map(waitUntilReady));
  await sleep(1000);

  const jobs = Array.from({ length: JOBS }, (_, index) => `job${index}`);
  for (const [index, job] of jobs.entries()) {
    const { status } = await call(machines[index % 2], job, { path: '/jobs/x', body: newJob(job) });
    note(`client gets ${status} for ${job}`);
    if (status !== 202) throw new Error(`${job}: ${status}`);
  }
  let wrong = 0;
  let read = 0;
  for (const [index, job] of jobs.entries()) {
    const results = [];
    for (let attempt = 0; attempt < 200 && results.length < ITEMS; attempt += 1) {
      const answer = await call(machines[(index + 1) % 2], `read-${job}-${attempt}`, {
        method: 'GET',
        path: `/v1/lots/${job}?after=${results.length}`,
        headers: { 'Wait-Ms': '1000' },
      });
      if (answer.status === 200) results.push(...JSON.parse(answer.body).results);
    }
    note(`client reads ${results.length} results of ${job}`);
    read += results.length;
    const partial = results.filter(
      ({ id, state, output }) => state === 'succeeded' && output !== getOutput(id),
    );
    wrong += partial.length;
    partial.forEach(({ id, output }) =>
      note(`VIOLATION ${id}: succeeded with the output ${JSON.stringify(output)}`),
    );
  }
  note(`RESULT ${spoiled} answers spoiled; ${wrong} of ${read} results are not the whole output`);
  return wrong;
});
