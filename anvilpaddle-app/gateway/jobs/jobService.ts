/** Serves callers' requests about batch jobs: submit, read results, read an item, end. */
import type { ServerResponse } from 'node:http';
import {
  NoRoomError,
  MS_PER_SECOND,
  sendJson,
  type Clock,
  type Logger,
  type Room,
  type RoomWait,
} from '@anvilpaddle/common';
import { getOutageRetryAfterMs, OUTAGE } from '@anvilpaddle/decisions';
import { getPlatformErrorMessage, type PlatformError } from '@anvilpaddle/platform';
import type { CallerProtocol, JobAction, RequestHead } from '../callerProtocol';
import { sendRefusal, STATUS, type Refusal } from '../refusal';
import { holdRoomUntilRead } from '../unreadResponse';
import type { Route } from '../types';
import { isUnfinished, type JobCache } from './jobCache';
import type { StoredJob } from './jobRecords';
import type { JobStore } from './jobStoreTypes';
import type { ItemResult, JobRecord, NewJob } from './types';

const ACCEPTED = 202;
/** Size limit of the results in one response. */
const MAX_PAGE_BYTES = 900_000;
/** Retry-after for a caller whose request conflicts with other changes of the job. */
const CONFLICT_RETRY_AFTER_MS = 300;
/** Interval of the checks whether the store has become unavailable during a submission. */
const STORE_CHECK_INTERVAL_MS = 50;
/** Retry-after for a caller whose job would exceed the route's limit of waiting tokens. */
const OVER_LIMIT_RETRY_AFTER_MS = 1000;
/** Longest time that a read of results waits for a new one. */
const MAX_RESULT_WAIT_MS = 1000;
const MAX_END_ATTEMPTS = 10;
/** Longest wait for room for what a caller asks for. */
const ROOM_TIMEOUT_MS = 4 * MS_PER_SECOND;
/** Retry-after for a caller for whose answer there was no room. */
const ROOM_RETRY_AFTER_MS = MS_PER_SECOND;

/** One request about jobs. */
export interface JobRequest {
  readonly head: RequestHead;
  /** Empty when the configuration has no teams. */
  readonly team: string;
  readonly response: ServerResponse;
  readonly signal: AbortSignal;
}

/** Request about a job that was submitted before; its route may be gone. */
export interface JobCall extends JobRequest {
  readonly action: JobAction;
}

/** Request that submits a job. */
export interface JobSubmission extends JobRequest {
  readonly route: Route;
  /** Version of the configuration that has the route. */
  readonly configVersion: number;
  readonly body: Buffer;
}

/** Serves callers' requests about jobs. */
export interface JobService {
  submit(submission: JobSubmission): Promise<void>;
  serve(call: JobCall): Promise<void>;
}

/** Dependencies of the job service. */
export interface JobServiceDependencies {
  readonly protocol: CallerProtocol;
  readonly store: JobStore;
  readonly jobCache: JobCache;
  /** Incarnation of this gateway, which becomes the owner of the jobs that it accepts. */
  readonly self: string;
  /** Whether the store answers neither this gateway nor a peer that could relay calls to it. */
  readonly isStoreUnavailable: () => boolean;
  /** Whether other gateways may be able to serve what this one can't. */
  readonly canOthersServe: () => boolean;
  /** Whether others wait for the room that answers take until their callers have read them. */
  readonly isRoomWanted: () => boolean;
  /** Whether this gateway may become the owner of new jobs; false once it is stopping. */
  readonly isAcceptingJobs: () => boolean;
  readonly clock: Clock;
  readonly log: Logger;
}

/** Creates the service for the jobs in the store. */
export const newJobService = (dependencies: JobServiceDependencies): JobService => {
  const { protocol, store, jobCache, clock, log } = dependencies;

  const refuse = (request: JobRequest, refusal: Refusal, error?: PlatformError): void => {
    const { status, reason } = refusal;
    const detail = error && getPlatformErrorMessage(error);
    log.info({ request: request.head.id, status, reason, detail }, 'job request refused');
    sendRefusal(request.response, refusal);
  };

  const refuseUnavailable = (request: JobRequest, error?: PlatformError): void => {
    const retryAfterMs = getOutageRetryAfterMs({
      outage: OUTAGE.storeUnavailable,
      canOthersServe: dependencies.canOthersServe(),
      budgetMs: request.head.budgetMs,
    });
    const reason = 'the store is not available';
    refuse(request, { status: STATUS.unavailable, reason, retryAfterMs }, error);
  };

  const getNewRecord = (request: JobSubmission, job: NewJob): JobRecord => ({
    id: request.head.id,
    team: request.team,
    route: request.route.name,
    host: request.head.host,
    configVersion: request.configVersion,
    // The store's clock gives the submission time; `submit` sets it.
    submittedMs: 0,
    tokens: job.items.map(({ tokens }) => tokens),
    owner: dependencies.isAcceptingJobs() ? dependencies.self : undefined,
    listed: [],
    failures: {},
    resultBytes: 0,
    isEnded: false,
  });

  const submit = async (request: JobSubmission): Promise<void> => {
    const job = protocol.parseJob(request.body);
    if (job === undefined || request.head.id === '') {
      refuse(request, { status: STATUS.badRequest, reason: 'the body is no batch job' });
      return;
    }
    if (dependencies.isStoreUnavailable()) {
      refuseUnavailable(request);
      return;
    }
    const progress = { isCancelled: false, isCommitting: false };
    // Refuses the caller early when the store becomes unavailable before the commit is sent.
    const storeCheck = clock.every(STORE_CHECK_INTERVAL_MS, () => {
      if (!progress.isCommitting && !progress.isCancelled && dependencies.isStoreUnavailable()) {
        progress.isCancelled = true;
        refuseUnavailable(request);
      }
    });
    const { jobs: limits } = request.route;
    const submission = await store.submit(getNewRecord(request, job), job, limits, progress);
    storeCheck.cancel();
    if (progress.isCancelled) return;
    switch (submission.kind) {
      case 'accepted':
        log.info(
          { job: request.head.id, team: request.team, items: job.items.length },
          'job accepted',
        );
        jobCache.put(submission.job);
        sendJson(request.response, ACCEPTED, {});
        break;
      case 'known':
        sendJson(request.response, ACCEPTED, {});
        break;
      case 'no_room':
        refuse(request, {
          status: STATUS.tooManyRequests,
          reason: `${submission.waitingTokens} tokens would wait`,
          retryAfterMs: OVER_LIMIT_RETRY_AFTER_MS,
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

  /** Finds a job of the caller's team; refuses the request and returns undefined if there is none. */
  const findJob = async (request: JobRequest, id: string): Promise<StoredJob | undefined> => {
    const job = await store.read({ team: request.team, id });
    if (!job.ok) refuseUnavailable(request, job.error);
    else if (job.value === undefined) {
      refuse(request, { status: STATUS.notFound, reason: 'no such job' });
    } else {
      jobCache.put(job.value);
      return job.value;
    }
    return undefined;
  };

  const getRoomWait = ({ head, signal }: JobRequest): RoomWait => ({
    timeoutMs: Math.min(ROOM_TIMEOUT_MS, head.budgetMs ?? Infinity),
    signal,
  });

  /** Keeps what was read held until the caller has read the answer. */
  const holdUntilRead = ({ response }: JobRequest, room: Room): void =>
    holdRoomUntilRead(response, room, dependencies.isRoomWanted);

  const readResults = async (
    request: JobRequest,
    id: string,
    from: number,
    waitMs: number,
  ): Promise<void> => {
    const { team, response } = request;
    const sendPage = (total: number, results: readonly ItemResult[]): void => {
      const next = from + results.length;
      sendJson(response, 200, protocol.getResultPage({ total, next, results }));
    };
    const deadlineMs = clock.monotonic() + Math.min(waitMs, MAX_RESULT_WAIT_MS);
    let job = await findJob(request, id);
    if (job === undefined) return;
    while (isUnfinished(job) && job.record.listed.length <= from && !request.signal.aborted) {
      const remainingMs = deadlineMs - clock.monotonic();
      if (remainingMs <= 0) break;
      await jobCache.waitForChange(team, id, remainingMs);
      job = jobCache.get(team, id) ?? job;
    }
    const total = job.record.tokens.length;
    if (job.record.listed.length <= from) {
      sendPage(total, []);
      return;
    }
    const page = await store.readResults(job.record, from, MAX_PAGE_BYTES, getRoomWait(request));
    if (!page.ok) {
      refuseUnavailable(request, page.error);
      return;
    }
    sendPage(total, page.value.results);
    holdUntilRead(request, page.value.room);
  };

  const readItem = async (request: JobRequest, id: string, itemId: string): Promise<void> => {
    const job = await findJob(request, id);
    if (job === undefined) return;
    const wait = getRoomWait(request);
    const summaries = await store.readItemSummaries(job.record, wait);
    if (!summaries.ok) {
      refuseUnavailable(request, summaries.error);
      return;
    }
    const index = summaries.value.findIndex((candidate) => candidate.id === itemId);
    const summary = summaries.value[index];
    if (summary === undefined || job.record.isEnded) {
      refuse(request, { status: STATUS.notFound, reason: 'no such item' });
      return;
    }
    const read = await store.readItem(summary, wait);
    if (!read.ok && job.record.listed.includes(index)) {
      refuse(request, { status: STATUS.notFound, reason: 'the item is listed' });
      return;
    }
    if (!read.ok) {
      refuseUnavailable(request, read.error);
      return;
    }
    const { item, room } = read.value;
    request.response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': String(item.body.length),
    });
    request.response.end(item.body);
    holdUntilRead(request, room);
  };

  const endJob = async (request: JobRequest, id: string): Promise<void> => {
    for (let attempt = 0; attempt < MAX_END_ATTEMPTS; attempt += 1) {
      const job = await findJob(request, id);
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
        jobCache.put({ record: next, revision: commit.value.revision });
        sendJson(request.response, 200, {});
        return;
      }
    }
    refuse(request, {
      status: STATUS.unavailable,
      reason: 'the job changes too often',
      retryAfterMs: CONFLICT_RETRY_AFTER_MS,
    });
  };

  const act = async (call: JobCall): Promise<void> => {
    const { action } = call;
    switch (action.kind) {
      case 'readResults':
        await readResults(call, action.jobId, action.from, action.waitMs);
        break;
      case 'readItem':
        await readItem(call, action.jobId, action.itemId);
        break;
      default:
        await endJob(call, action.jobId);
    }
  };

  return {
    submit,
    serve: async (call) => {
      try {
        await act(call);
      } catch (error) {
        if (!(error instanceof NoRoomError)) throw error;
        const retryAfterMs = ROOM_RETRY_AFTER_MS;
        refuse(call, { status: STATUS.unavailable, reason: error.message, retryAfterMs });
      }
    },
  };
};
