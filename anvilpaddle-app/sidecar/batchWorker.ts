import { text } from 'node:stream/consumers';
import {
  CHUNK_STATE,
  chunkSchema,
  JOB_STATE,
  jobSchema,
  type Chunk,
  type Job,
} from '@anvilpaddle/decisions';
import {
  getFaultMessage,
  newId,
  newMailbox,
  SERVICE_CLASS,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
import type { ObjectStore, Row, TableService } from '@anvilpaddle/platform';
import { CHUNKS_TABLE, JOBS_TABLE } from '../controllers/jobController';
import type { UpstreamClient } from './upstreamClient';
import type { UpstreamTask } from './upstreamTask';

const POLL_MS = 200;
const SCAN_LIMIT = 1000;
const ITEM_DEADLINE_MS = 3_600_000;

/** Parts of the sidecar that the batch worker works with. */
export interface BatchServices {
  readonly owner: string;
  readonly group: string;
  readonly tables: TableService;
  readonly objects: ObjectStore;
  readonly task: UpstreamTask;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly log: Logger;
  readonly isStopping: () => boolean;
  readonly getWeight: (team: string) => number;
}

/** Pulls chunks of batch jobs when the upstream has spare slots. */
export interface BatchWorker {
  close(): Promise<void>;
}

interface Item {
  readonly custom_id: string;
  readonly method: string;
  readonly url: string;
  readonly body: unknown;
}

interface Claim {
  readonly job: Job;
  readonly jobRow: Row;
  readonly chunk: Chunk;
  readonly key: string;
  readonly revision: number;
}

interface ItemResult {
  readonly line: string;
  readonly failed: boolean;
}

const getResultLine = (customId: string, response: object | null, error: object | null): string =>
  JSON.stringify({ id: newId('item'), custom_id: customId, response, error });

/** Starts the worker. */
export const newBatchWorker = (services: BatchServices): BatchWorker => {
  const { tables, objects, task, client, clock, log } = services;
  const stop = new AbortController();

  const claimChunk = async (job: Job, jobRow: Row, row: Row): Promise<Claim | undefined> => {
    const ready = chunkSchema.parse(row.value);
    if (ready.state !== CHUNK_STATE.ready) return undefined;
    const chunk: Chunk = {
      ...ready,
      state: CHUNK_STATE.claimed,
      owner: services.owner,
      epoch: ready.epoch + 1,
    };
    const commit = await tables.transact({
      checks: [{ table: CHUNKS_TABLE, key: row.key, revision: row.revision }],
      writes: [{ table: CHUNKS_TABLE, key: row.key, value: chunk }],
    });
    if (!commit.ok || !commit.value.committed) return undefined;
    return { job, jobRow, chunk, key: row.key, revision: commit.value.revision };
  };

  const findClaim = async (): Promise<Claim | undefined> => {
    const jobs = await tables.scan(JOBS_TABLE, { prefix: '', limit: SCAN_LIMIT });
    if (!jobs.ok) return undefined;
    for (const jobRow of jobs.value) {
      const job = jobSchema.parse(jobRow.value);
      if (job.state !== JOB_STATE.inProgress || job.group !== services.group) continue;
      const chunks = await tables.scan(CHUNKS_TABLE, { prefix: `${job.id}/`, limit: SCAN_LIMIT });
      if (!chunks.ok) return undefined;
      for (const row of chunks.value) {
        const claim = await claimChunk(job, jobRow, row);
        if (claim !== undefined) return claim;
      }
    }
    return undefined;
  };

  const callUpstream = async (id: string, item: Item): Promise<ItemResult> => {
    const answer = await client.call({
      id,
      method: item.method,
      path: item.url,
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(JSON.stringify(item.body)),
      signal: stop.signal,
    });
    if (!answer.ok) {
      const error = { code: answer.error.kind, message: answer.error.detail };
      return { line: getResultLine(item.custom_id, null, error), failed: true };
    }
    const content = await text(answer.value.body);
    const response = {
      status_code: answer.value.status,
      request_id: id,
      body: JSON.parse(content),
    };
    return {
      line: getResultLine(item.custom_id, response, null),
      failed: answer.value.status >= 400,
    };
  };

  const runItem = (job: Job, line: string): Promise<ItemResult> =>
    new Promise((resolve) => {
      const item = JSON.parse(line) as Item;
      const id = newId('item');
      const fail = (message: string): void =>
        resolve({
          line: getResultLine(item.custom_id, null, { code: 'failed', message }),
          failed: true,
        });
      const start = (): void => {
        callUpstream(id, item)
          .then(resolve, (fault: unknown) => fail(getFaultMessage(fault)))
          .finally(() => task.finish(id, 0));
      };
      task.submit(
        {
          id,
          team: job.team,
          route: job.route,
          serviceClass: SERVICE_CLASS.batch,
          weight: services.getWeight(job.team),
          maxTokens: undefined,
          deadlineMs: clock.monotonic() + ITEM_DEADLINE_MS,
        },
        { start, preempt: () => undefined, refuse: (reason) => fail(reason) },
      );
    });

  const commitResults = async (claim: Claim, results: readonly ItemResult[]): Promise<void> => {
    const { chunk, job } = claim;
    const output = `results/${job.id}/${chunk.index}-${chunk.epoch}`;
    const stored = await objects.put(
      output,
      Buffer.from(results.map(({ line }) => `${line}\n`).join('')),
    );
    if (!stored.ok) return;
    const failed = results.filter((result) => result.failed).length;
    await tables.transact({
      checks: [
        { table: CHUNKS_TABLE, key: claim.key, revision: claim.revision },
        { table: JOBS_TABLE, key: job.id, revision: claim.jobRow.revision },
      ],
      writes: [
        {
          table: CHUNKS_TABLE,
          key: claim.key,
          value: { ...chunk, state: CHUNK_STATE.done, output, failed },
        },
      ],
    });
  };

  const finishJob = async (claim: Claim): Promise<void> => {
    const rows = await tables.scan(CHUNKS_TABLE, {
      prefix: `${claim.job.id}/`,
      limit: SCAN_LIMIT,
    });
    if (!rows.ok) return;
    const isDone = rows.value.every((row) => chunkSchema.parse(row.value).state === 'done');
    if (!isDone) return;
    await tables.transact({
      checks: [{ table: JOBS_TABLE, key: claim.job.id, revision: claim.jobRow.revision }],
      writes: [
        {
          table: JOBS_TABLE,
          key: claim.job.id,
          value: { ...claim.job, state: JOB_STATE.completed, finishedAt: clock.wall() },
        },
      ],
    });
  };

  const runChunk = async (claim: Claim): Promise<void> => {
    const input = await objects.get(claim.chunk.input);
    if (!input.ok || input.value === undefined) return;
    const lines = String(input.value).split('\n').filter(Boolean);
    const results = await Promise.all(lines.map((line) => runItem(claim.job, line)));
    await commitResults(claim, results);
    await finishJob(claim);
  };

  const mailbox = newMailbox<'poll'>(
    async () => {
      if (services.isStopping() || task.spareSlots() === 0) return;
      const claim = await findClaim();
      if (claim !== undefined) await runChunk(claim);
    },
    (fault) => log.error({ err: fault }, 'batch worker failed'),
  );
  const timer = clock.every(POLL_MS, () => {
    if (mailbox.size() === 0) mailbox.post('poll');
  });

  return {
    close: async () => {
      timer.cancel();
      stop.abort();
      await mailbox.close();
    },
  };
};
