/** Measurement of batch jobs: store calls, throughput, memory of an upload, and contention for chunks. */
import { setMaxListeners } from 'node:events';
import { readFileSync } from 'node:fs';
import { JOB_STATE, type Job } from '@anvilpaddle/decisions';
import { newId, newSeededRandom, newSilentLogger, type Random } from '@anvilpaddle/common';
import { FirstComeScheduler } from '@anvilpaddle/decisions';
import { newChunkFinder } from 'anvilpaddle-app/batch/chunkFinder';
import { newChunkRun } from 'anvilpaddle-app/batch/chunkRun';
import { newItemRunner } from 'anvilpaddle-app/batch/itemRunner';
import { newUpstreamDispatcher } from 'anvilpaddle-app/sidecar/upstreamDispatcher';
import { newFleet } from 'anvilpaddle-app/tests/kit/fleet';
import { measureClaimContention } from './batchContention';
import {
  clock,
  config,
  ITEM_DURATION_MS,
  newFixedDelayClient,
  newDelayedStore,
  STORE_ROUND_TRIP_MS,
  SLOTS,
  startWorker,
  submitJob,
  waitForJobEnd,
  type DelayedStore,
} from './kit/batchFixture';
import { printTable } from './kit/table';

const WORKERS = 8;
const JOB_ITEMS = [2_560, 10_240, 40_960];
const ITEMS_PER_DAY = 150_000_000;
const SECONDS_PER_DAY = 86_400;
const UPLOAD_ITEMS = [100_000, 300_000, 890_000];
const BYTES_PER_MB = 1_000_000;

/** Baseline worker that claims the next chunk only after all items of the current one have ended. */
const runChunkByChunk = async (store: DelayedStore, job: Job, random: Random): Promise<void> => {
  const finder = newChunkFinder(store.service, clock, random);
  const dispatcher = newUpstreamDispatcher(new FirstComeScheduler(SLOTS), clock, newSilentLogger());
  const runner = newItemRunner({
    dispatcher,
    client: newFixedDelayClient(),
    clock,
    getWeight: () => 1,
  });
  const services = { tables: store.service, objects: store.objects, clock };
  const drainSignal = new AbortController().signal;
  setMaxListeners(0, drainSignal);
  while ((store.tables.get('jobs', job.id)?.value as Job).state === JOB_STATE.inProgress) {
    const claim = await finder.find({
      owner: newId('inc'),
      leaseMs: 60_000,
      maxAttempts: 3,
      group: 'llm',
      revision: 1,
      itemsPerSecond: 0,
      getWeight: () => 1,
      canRun: () => true,
      isHeld: () => false,
    });
    if (claim === undefined) {
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
      continue;
    }
    const run = newChunkRun(services, claim, () => true);
    const route = config.routes[0];
    await run.load({ endpoint: job.endpoint, route, routeName: 'chat', team: {} });
    const items: Promise<void>[] = [];
    for (let placed = run.next(); placed !== undefined; placed = run.next()) {
      const { item, position } = placed;
      const runOptions = {
        job,
        maxAttempts: 3,
        timeoutMs: 60_000,
        maxResponseBytes: 1_000_000,
        signal: run.signal,
        drainSignal,
        isSuspect: false,
        markRunning: () => Promise.resolve(true),
        markStarted: () => Promise.resolve(true),
        onStart: () => undefined,
      };
      items.push(runner.run(item, runOptions).then((result) => run.endItem(position, result)));
    }
    await Promise.all(items);
    await run.finish();
  }
  await dispatcher.close();
};

/** Throughput as a fraction of the ideal, at which every slot is always busy. */
const getIdealFraction = (items: number, elapsedMs: number): string =>
  ((items * ITEM_DURATION_MS) / (WORKERS * SLOTS) / elapsedMs).toFixed(3);

const measureChunkByChunk = async (items: number): Promise<string> => {
  const store = newDelayedStore(STORE_ROUND_TRIP_MS);
  const job = await submitJob(store, items);
  const random = newSeededRandom(items);
  const startedMs = performance.now();
  await Promise.all(Array.from({ length: WORKERS }, () => runChunkByChunk(store, job, random)));
  return getIdealFraction(items, performance.now() - startedMs);
};

/** Prints store calls and the fraction of the ideal throughput, by size of the job. */
const measureThroughput = async (): Promise<void> => {
  const rows: Record<string, string | number>[] = [];
  for (const items of JOB_ITEMS) {
    const store = newDelayedStore(STORE_ROUND_TRIP_MS);
    const job = await submitJob(store, items);
    const creation = { ...store.tables.calls };
    const startedMs = performance.now();
    const random = newSeededRandom(items);
    const startedWorkers = Array.from({ length: WORKERS }, () =>
      startWorker(store, WORKERS, random),
    );
    await waitForJobEnd(store, job);
    const elapsedMs = performance.now() - startedMs;
    const { reads, writes } = store.tables.calls;
    const thousands = items / 1000;
    rows.push({
      items,
      chunks: job.chunks,
      'creation writes': creation.writes,
      'table writes/1000': ((writes - creation.writes) / thousands).toFixed(2),
      'table reads/1000': ((reads - creation.reads) / thousands).toFixed(2),
      'object writes/1000': (store.objectCalls.writes / thousands).toFixed(2),
      'object reads/1000': (store.objectCalls.reads / thousands).toFixed(2),
      'share of ideal': getIdealFraction(items, elapsedMs),
      'one by one': await measureChunkByChunk(items),
    });
    await Promise.all(startedWorkers.map((worker) => worker.close()));
  }
  printTable(`batch: one job over ${WORKERS} workers of ${SLOTS} slots`, rows);
  const last = rows.at(-1) ?? {};
  const thousandItemsPerSecond = ITEMS_PER_DAY / SECONDS_PER_DAY / 1000;
  const leaseRenewalsPerSecond = 100;
  const writes = Number(last['table writes/1000']) * thousandItemsPerSecond;
  process.stdout.write(
    `at 150 million items a day: table writes ${writes.toFixed(1)}/s for chunks, ` +
      `up to ${leaseRenewalsPerSecond}/s for leases of one chunk a sidecar; object writes ` +
      `${(Number(last['object writes/1000']) * thousandItemsPerSecond).toFixed(1)}/s\n`,
  );
};

/** Current (`VmRSS`) or peak (`VmHWM`) resident memory of a process in megabytes. */
const getResidentMegabytes = (pid: number, field: 'VmRSS' | 'VmHWM'): number => {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return (Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1]) * 1024) / BYTES_PER_MB;
};

/** Streams a multipart form with an input file of the given number of items. */
const newUploadStream = (items: number, boundary: string): ReadableStream<Uint8Array> => {
  const head = 'content-disposition: form-data; name="file"; filename="large.jsonl"';
  const body = JSON.stringify({ model: 'small-chat', messages: ['x'.repeat(120)] });
  // Number of items sent; -1 until the head of the form is sent.
  let sentItems = -1;
  const newPiece = (): string => {
    if (sentItems < 0) return `--${boundary}\r\n${head}\r\n\r\n`;
    if (sentItems >= items) return `\r\n--${boundary}--\r\n`;
    const count = Math.min(500, items - sentItems);
    return Array.from(
      { length: count },
      (_, index) =>
        `{"custom_id":"d-${sentItems + index}","method":"POST","url":"/v1/chat/completions","body":${body}}\n`,
    ).join('');
  };
  return new ReadableStream({
    pull: (controller) => {
      controller.enqueue(Buffer.from(newPiece()));
      if (sentItems >= items) controller.close();
      sentItems = sentItems < 0 ? 0 : Math.min(items + 1, sentItems + 500);
      if (sentItems > items) sentItems = items;
    },
  });
};

/**
 * Prints the resident memory of an entry before an upload, and its peaks during the upload and the
 * job's creation.
 */
const measureUpload = async (): Promise<void> => {
  const rows: Record<string, string | number>[] = [];
  for (const items of UPLOAD_ITEMS) {
    const level = {
      'limits.rate': '1000',
      'limits.burst': '1000',
      'batch.completion_window': '24h',
    };
    const levels = { fleet: level };
    const fleet = await newFleet({
      entries: 1,
      engines: 0,
      plainUpstreams: 0,
      settingsByLevel: levels,
    });
    const key = await fleet.createTeam('association');
    const pid = fleet.entries[0]?.process.pid ?? 0;
    const idleMb = getResidentMegabytes(pid, 'VmRSS');
    const boundary = newId('form');
    const send = async (
      path: string,
      type: string,
      body: string | ReadableStream<Uint8Array>,
    ): Promise<{ id: string }> => {
      const response = await fetch(`${fleet.entries[0]?.url}${path}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${key}`, 'content-type': type },
        body,
        duplex: 'half',
      });
      return (await response.json()) as { id: string };
    };
    const form = `multipart/form-data; boundary=${boundary}`;
    const file = await send('/v1/files', form, newUploadStream(items, boundary));
    const uploadMb = getResidentMegabytes(pid, 'VmHWM');
    const request = { input_file_id: file.id, endpoint: '/v1/chat/completions' };
    const job = await send('/v1/batches', 'application/json', JSON.stringify(request));
    const storedJob = fleet.platform.tables.get('jobs', job.id)?.value as Job | undefined;
    rows.push({
      items,
      accepted: storedJob?.items ?? 0,
      'idle MB': idleMb.toFixed(1),
      'peak of the upload MB': uploadMb.toFixed(1),
      'peak with the creation MB': getResidentMegabytes(pid, 'VmHWM').toFixed(1),
    });
    await fleet.close();
  }
  printTable('batch: resident memory of an entry that takes a large file', rows);
};

/** Prints store calls, throughput, memory and contention of batch jobs. */
export const measureBatch = async (): Promise<void> => {
  await measureThroughput();
  await measureUpload();
  await measureClaimContention();
};
