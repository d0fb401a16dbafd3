/** Callers' calls about batch jobs. */
import type { ServerResponse } from 'node:http';
import { sendJson, type Clock, type Logger } from '@anvilpaddle/common';
import { getOutageRetryAfterMs, OUTAGE } from '@anvilpaddle/decisions';
import { getPlatformErrorText, type PlatformError } from '@anvilpaddle/platform';
import type { RequestHead, CallerProtocol } from '../callerProtocol';
import { sendRefusal, STATUS, type Refusal } from '../refusal';
import type { Route } from '../types';
import { isUnfinished, type JobCache } from './jobCache';
import type { StoredJob } from './jobRecords';
import type { JobStore } from './jobStore';
import type { JobRecord, NewJob } from './types';

const ACCEPTED = 202;
/** Most bytes of results in one answer. */
const MAX_PAGE_BYTES = 900_000;
/** Wait asked of a caller whose job others change at the same time. */
const CONTENDED_RETRY_MS = 300;
/** Time between two looks at whether the store went away under a submission, in milliseconds. */
const STORE_LOOK_MS = 50;
/** Wait asked of a caller whose job does not fit. */
const ROOM_RETRY_MS = 1000;
/** Longest that a read waits for a result. */
const MAX_WAIT_MS = 1000;
const MAX_END_TRIES = 10;

/** One call about jobs. */
export interface JobRequest {
  readonly call: RequestHead;
  readonly route: Route;
  /** Empty when the deployment has no teams. */
  readonly team: string;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
}

/** Serves calls about jobs. */
export interface JobService {
  serve(request: JobRequest): Promise<void>;
}

/** What the service uses. */
export interface JobServiceDependencies {
  readonly protocol: CallerProtocol;
  readonly store: JobStore;
  readonly jobCache: JobCache;
  /** Incarnation of this gateway, which runs the jobs that it accepts. */
  readonly self: string;
  /** Whether the store answers neither this gateway nor a peer that would pass calls on. */
  readonly isStoreUnavailable: () => boolean;
  /** Whether other gateways can serve what this one can't. */
  readonly canOthersServe: () => boolean;
  /** Whether this gateway takes on new jobs. */
  readonly isAcceptingJobs: () => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Service over the store's jobs. */
export const newJobService = (services: JobServiceDependencies): JobService => {
  const { protocol, store, jobCache: board, clock, log } = services;

  const refuse = (request: JobRequest, refusal: Refusal, error?: PlatformError): void => {
    const { status, reason } = refusal;
    const detail = error && getPlatformErrorText(error);
    log.info({ request: request.call.id, status, reason, detail }, 'job call refused');
    sendRefusal(request.response, refusal);
  };

  const refuseUnavailable = (request: JobRequest, error?: PlatformError): void => {
    const retryAfterMs = getOutageRetryAfterMs({
      outage: OUTAGE.storeUnavailable,
      canOthersServe: services.canOthersServe(),
      budgetMs: request.call.budgetMs,
    });
    const reason = 'the store is not available';
    refuse(request, { status: STATUS.unavailable, reason, retryAfterMs }, error);
  };

  const getNewRecord = (request: JobRequest, job: NewJob): JobRecord => ({
    id: request.call.id,
    team: request.team,
    route: request.route.name,
    host: request.call.host,
    submittedMs: 0,
    tokens: job.items.map(({ tokens }) => tokens),
    owner: services.isAcceptingJobs() ? services.self : undefined,
    listed: [],
    failures: {},
    isEnded: false,
  });

  const submit = async (request: JobRequest): Promise<void> => {
    const job = protocol.parseJob(request.body);
    if (job === undefined || request.call.id === '') {
      refuse(request, { status: STATUS.badRequest, reason: 'the body is no batch job' });
      return;
    }
    if (services.isStoreUnavailable()) {
      refuseUnavailable(request);
      return;
    }
    const progress = { isCancelled: false, isCommitting: false };
    const look = clock.every(STORE_LOOK_MS, () => {
      if (!progress.isCommitting && !progress.isCancelled && services.isStoreUnavailable()) {
        progress.isCancelled = true;
        refuseUnavailable(request);
      }
    });
    const { jobs: bounds } = request.route;
    const submission = await store.submit(getNewRecord(request, job), job, bounds, progress);
    look.cancel();
    if (progress.isCancelled) return;
    switch (submission.kind) {
      case 'accepted':
        log.info(
          { job: request.call.id, team: request.team, items: job.items.length },
          'job accepted',
        );
        board.put(submission.job);
        sendJson(request.response, ACCEPTED, {});
        break;
      case 'known':
        sendJson(request.response, ACCEPTED, {});
        break;
      case 'no_room':
        refuse(request, {
          status: STATUS.tooManyRequests,
          reason: `${submission.waitingTokens} tokens would wait`,
          retryAfterMs: ROOM_RETRY_MS,
        });
        break;
      case 'unavailable':
        refuseUnavailable(request, submission.error);
        break;
      default:
        refuse(
          request,
          { status: STATUS.timeout, reason: 'the store has not answered' },
          submission.error,
        );
    }
  };

  /** Job of the caller's team; undefined after the caller got its answer. */
  const find = async (request: JobRequest, id: string): Promise<StoredJob | undefined> => {
    const job = await store.read(request.team, id);
    if (!job.ok) refuseUnavailable(request, job.error);
    else if (job.value === undefined) {
      refuse(request, { status: STATUS.notFound, reason: 'no such job' });
    } else {
      board.put(job.value);
      return job.value;
    }
    return undefined;
  };

  const readResults = async (
    request: JobRequest,
    id: string,
    from: number,
    waitForMs: number,
  ): Promise<void> => {
    const { team, response } = request;
    const endMs = clock.monotonic() + Math.min(waitForMs, MAX_WAIT_MS);
    let job = await find(request, id);
    if (job === undefined) return;
    while (isUnfinished(job) && job.record.listed.length <= from && !request.signal.aborted) {
      const leftMs = endMs - clock.monotonic();
      if (leftMs <= 0) break;
      await board.waitForChange(team, id, leftMs);
      job = board.get(team, id) ?? job;
    }
    const total = job.record.tokens.length;
    const results =
      job.record.listed.length > from
        ? await store.readResults(team, id, from, MAX_PAGE_BYTES)
        : { ok: true as const, value: [] };
    if (!results.ok) {
      refuseUnavailable(request, results.error);
      return;
    }
    const next = from + results.value.length;
    sendJson(response, 200, protocol.getResultPage({ total, next, results: results.value }));
  };

  const readItem = async (request: JobRequest, id: string, itemId: string): Promise<void> => {
    const job = await find(request, id);
    if (job === undefined) return;
    const items = await store.readItems(request.team, id);
    if (!items.ok) {
      refuseUnavailable(request, items.error);
      return;
    }
    const item = items.value?.find((candidate) => candidate.id === itemId);
    if (item === undefined || job.record.isEnded) {
      refuse(request, { status: STATUS.notFound, reason: 'no such item' });
      return;
    }
    request.response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': String(item.body.length),
    });
    request.response.end(item.body);
  };

  const end = async (request: JobRequest, id: string): Promise<void> => {
    for (let tries = 0; tries < MAX_END_TRIES; tries += 1) {
      const job = await find(request, id);
      if (job === undefined) return;
      if (job.record.isEnded) {
        sendJson(request.response, 200, {});
        return;
      }
      const next = { ...job.record, isEnded: true };
      const commit = await store.update(job, { record: next });
      if (!commit.ok) {
        refuseUnavailable(request, commit.error);
        return;
      }
      if (commit.value.committed) {
        log.info({ job: id, team: request.team }, 'job ended by its caller');
        board.put({ record: next, revision: commit.value.revision });
        sendJson(request.response, 200, {});
        return;
      }
    }
    refuse(request, {
      status: STATUS.unavailable,
      reason: 'the job changes too often',
      retryAfterMs: CONTENDED_RETRY_MS,
    });
  };

  return {
    serve: async (request) => {
      const { action } = request.call;
      switch (action.kind) {
        case 'readResults':
          await readResults(request, action.jobId, action.from, action.waitMs);
          break;
        case 'readItem':
          await readItem(request, action.jobId, action.itemId);
          break;
        case 'endJob':
          await end(request, action.jobId);
          break;
        default:
          await submit(request);
      }
    },
  };
};
