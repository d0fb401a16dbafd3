// Batch jobs of two tenants after the gateways were killed: whose items run, and under which tenant.
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { beat, HOST, KEY, newConfig, newWorkerRow, startWorker } from '../kit-2/cluster.mjs';
import { call, sleep, startGateway } from '../kit-2/gateways.mjs';
import { newId, runCase } from '../kit-2/record.mjs';
import { startStore } from '../kit-2/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const FOLDER = dirname(fileURLToPath(import.meta.url));

const ITEMS = 6;
const DOWN_MS = 1000;
/** Longest time for all items, of about 8 s each at a worker. */
const WAIT_MS = 40_000;

/** Two tenants, with the ids that they give their jobs. */
const TENANTS = [
  { name: 'coop-norte', key: `${KEY}a`, job: 'dossiers-0712' },
  { name: 'coop', key: `${KEY}b`, job: 'norte-dossiers-0712' },
];

runCase(join(FOLDER, 'record.txt'), 110_000, async ({ say, show }, onClose) => {
  const store = await startStore('127.0.0.1');
  onClose(store.close);
  const tenants = TENANTS.map(({ name, key }) => ({
    name,
    api_keys: [key],
    rate_per_s: 0,
    burst: 0,
  }));
  store.put('op', 'config', newConfig(1, { tenants }));
  const runs = [];
  const spoil = (run, message) => {
    const { tenant, 'last-event-id': from } = message.headers;
    runs.push({ ...run, tenant });
    say(`a worker runs ${run.id} of tenant ${tenant}${from === undefined ? '' : ` after ${from}`}`);
    return undefined;
  };
  const workers = await Promise.all(
    ['i-1', 'i-2'].map((id) => startWorker('127.0.0.1', id, { events: 160, eventMs: 50, spoil })),
  );
  workers.forEach((worker) => onClose(worker.close));
  const rows = Object.fromEntries(workers.map(({ id, address }) => [id, newWorkerRow(address)]));
  const heartbeat = beat(store, () => rows);
  onClose(() => clearInterval(heartbeat));
  const start = (name, host, ports) => startGateway(name, host, store, 370, ports);
  let gateways = [await start('edge-1', '127.0.0.101'), await start('edge-2', '127.0.0.102')];
  onClose(() => Promise.all(gateways.map((gateway) => gateway.end())));
  await sleep(2000);

  const jobs = TENANTS.map(({ name, key, job }) => ({
    name,
    job,
    headers: { host: HOST, authorization: `Bearer ${key}` },
    items: Array.from({ length: ITEMS }, (_, index) => ({
      id: newId(),
      path: `/review/3/${index}`,
      headers: { Model: 'm', 'Token-Count': '350,247' },
      body: Buffer.from(`dossier ${index} of ${name}`).toString('base64'),
      token_count: 597,
    })),
  }));
  for (const { name, job, headers, items } of jobs) {
    const { status } = await call(gateways[0], {
      path: '/review/new',
      headers: { ...headers, 'request-id': job, 'content-type': 'application/json' },
      body: JSON.stringify({ requests: items }),
    });
    show(
      `tenant ${name}, batch job ${job}: ${status}; items ${items.map(({ id }) => id).join(' ')}`,
    );
  }
  await sleep(2000);
  const [{ name: first, job: firstJob, headers: firstHeaders, items: firstItems }] = jobs;
  const body = await call(gateways[1], {
    method: 'GET',
    path: `/v1/items/${firstJob}?id=${firstItems[0].id}`,
    headers: firstHeaders,
  });
  show(
    `tenant ${first}, body of the unlisted item ${firstItems[0].id}: ${body.status} (not counted)`,
  );
  if (HAS_TROUBLE) {
    const old = gateways;
    old.forEach((gateway) => gateway.signal('SIGKILL'));
    await Promise.all(old.map(({ exited }) => exited));
    show('all gateways are killed');
    await sleep(DOWN_MS);
    gateways = await Promise.all(old.map(({ name, host, ports }) => start(name, host, ports)));
    show('all gateways are ready again');
  }
  const read = async ({ job, headers }) => {
    const answer = await call(gateways[1], {
      method: 'GET',
      path: `/v1/lots/${job}?after=0`,
      headers,
    });
    return answer.status === 200 ? JSON.parse(answer.body.toString()).results : [];
  };
  const endMs = performance.now() + WAIT_MS;
  let results = [];
  while (performance.now() < endMs) {
    await sleep(1000);
    results = await Promise.all(jobs.map(read));
    if (results.every((listed) => listed.length === ITEMS)) break;
  }
  const owners = new Map(jobs.flatMap(({ name, items }) => items.map(({ id }) => [id, name])));
  const foreignRuns = runs.filter(({ id, tenant }) => owners.get(id) !== tenant);
  const foreignResults = jobs.flatMap(({ name }, index) =>
    results[index].filter(({ id }) => owners.get(id) !== name),
  );
  jobs.forEach(({ name, job }, index) =>
    show(
      `tenant ${name}, batch job ${job}: ${results[index].length} of ${ITEMS} results, for the items ` +
        `${results[index].map(({ id }) => `${id} of ${owners.get(id)}`).join(', ')}`,
    ),
  );
  show(
    `${foreignRuns.length} of ${runs.length} runs under another tenant than the item's, ` +
      `${foreignResults.length} results of another tenant's items`,
  );
  gateways.forEach((gateway) =>
    say(`end of the log of ${gateway.name}:\n${gateway.getLogs().slice(-2000)}`),
  );
  return foreignRuns.length === 0 && foreignResults.length === 0;
});
