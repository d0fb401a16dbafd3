import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { BYTES_PER_MIB, readBody, sendJson, type Clock, type Logger } from '@anvilpaddle/common';
import type { RegistrationResult, AttemptLedger } from '@anvilpaddle/decisions';
import {
  HEADER,
  INTERNAL_HEADER_PREFIX,
  parseAttemptHeader,
  type Attempt,
  type Refusal,
  type Revocation,
  type RevocationResult,
} from '@anvilpaddle/protocol';
import { newRefusalCounter } from '../peers/refusalCounter';
import { newTokenCounter } from './tokenCounter';
import type { UpstreamAnswer, UpstreamClient } from './upstreamClient';
import type { UpstreamTask } from './upstreamTask';

const MAX_BODY_BYTES = 64 * BYTES_PER_MIB;
const STATUS_REFUSED = 503;
const FULL_RETRY_MS = 1000;
const HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade']);
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

/** Parts of the sidecar that the attempt server works with. */
export interface AttemptServices {
  readonly incarnation: string;
  readonly task: UpstreamTask;
  readonly client: UpstreamClient;
  readonly ledger: AttemptLedger;
  readonly clock: Clock;
  readonly log: Logger;
  readonly isStopping: () => boolean;
  readonly getWeight: (team: string) => number;
}

/** Serves entries' attempts. */
export interface AttemptServer {
  serve(request: IncomingMessage, response: ServerResponse): void;
  revoke(revocation: Revocation): RevocationResult;
  /** Attempts that wait or run. */
  open(): number;
  /** Attempts refused so far, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
}

/** An attempt that was accepted, with what its answer needs. */
interface Job {
  readonly attempt: Attempt;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly arrivedMs: number;
  readonly abort: AbortController;
}

const ARRIVAL_REFUSALS: Readonly<Record<Exclude<RegistrationResult, 'accepted'>, Refusal>> = {
  duplicate: { reason: 'duplicate', run: 'unknown' },
  revoked: { reason: 'revoked', run: 'not_run' },
  expired: { reason: 'expired', run: 'unknown' },
  full: { reason: 'overloaded', run: 'not_run', retryAfterMs: FULL_RETRY_MS },
};

const hasBody = (method: string, status: number): boolean =>
  method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);

/** Without a length or chunks, an answer that was cut looks like a whole one. */
const isFramed = ({ method }: Attempt, { status, headers }: UpstreamAnswer): boolean =>
  !hasBody(method, status) ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

const getAnswerHeaders = (
  { method }: Attempt,
  { status, headers }: UpstreamAnswer,
): Record<string, string | string[]> =>
  Object.fromEntries(
    Object.entries(headers).filter(
      (header): header is [string, string | string[]] =>
        header[1] !== undefined &&
        !HOP_HEADERS.has(header[0]) &&
        !header[0].startsWith(INTERNAL_HEADER_PREFIX) &&
        // The length that HEAD tells of is not that of a body on this connection.
        (header[0] !== 'content-length' || hasBody(method, status)),
    ),
  );

/** Server of attempts; it alone passes online requests to the upstream. */
export const newAttemptServer = (services: AttemptServices): AttemptServer => {
  const { task, client, ledger, clock, incarnation } = services;

  const waiting = new Map<string, Job>();
  const refusals = newRefusalCounter('attempt', services.log);

  /** A refusal names its attempt, so that no other can take it for its own. */
  const sendRefusal = (response: ServerResponse, refusal: Refusal, attempt?: Attempt): void => {
    refusals.add(refusal.reason);
    if (response.headersSent || response.destroyed) return;
    if (attempt !== undefined) response.setHeader(HEADER.attemptId, attempt.attempt);
    sendJson(response, STATUS_REFUSED, refusal, { [HEADER.refusal]: refusal.reason });
  };

  const relay = async (job: Job, answer: UpstreamAnswer, waitedMs: number): Promise<number> => {
    const counter = newTokenCounter(String(answer.headers['content-type'] ?? ''));
    job.response.writeHead(answer.status, {
      ...getAnswerHeaders(job.attempt, answer),
      [HEADER.attemptId]: job.attempt.attempt,
      [HEADER.load]: JSON.stringify(task.load()),
      [HEADER.queueWait]: String(Math.round(waitedMs)),
    });
    // A cut answer destroys the connection, so that the entry sees the cut as well.
    await pipeline(answer.body, counter.through, job.response).catch(() => job.response.destroy());
    return counter.tokens();
  };

  /** Sends an attempt and relays the answer; gives the tokens that it was served. */
  const runAtUpstream = async (job: Job): Promise<number> => {
    const { attempt, response } = job;
    const waitedMs = clock.monotonic() - job.arrivedMs;
    const answer = await client.call({
      id: attempt.attempt,
      method: attempt.method,
      path: attempt.path,
      headers: attempt.headers,
      body: job.body,
      signal: job.abort.signal,
    });
    const reached = answer.ok || answer.error.kind !== 'not_sent';
    if (!reached) ledger.finish(attempt.attempt, false, clock.monotonic());
    if (!answer.ok) {
      const run = reached ? 'unknown' : 'not_run';
      const { detail } = answer.error;
      sendRefusal(response, { reason: 'upstream_failed', run, detail }, attempt);
      return 0;
    }
    if (isFramed(attempt, answer.value)) return relay(job, answer.value, waitedMs);
    answer.value.body.on('error', () => undefined).destroy();
    const detail = 'the answer has neither a length nor chunks';
    sendRefusal(response, { reason: 'upstream_failed', run: 'unknown', detail }, attempt);
    return 0;
  };

  const start = (job: Job): void => {
    const id = job.attempt.attempt;
    let tokens = 0;
    waiting.delete(id);
    const leave = (): void => {
      ledger.finish(id, true, clock.monotonic());
      task.finish(id, tokens);
    };
    // The one gate to the upstream: what was given up in the meantime goes no further.
    if (!ledger.markSent(id, clock.monotonic())) {
      leave();
      return;
    }
    runAtUpstream(job)
      .then((served) => {
        tokens = served;
      })
      .catch((fault: unknown) => {
        services.log.warn({ err: fault, attempt: id }, 'attempt failed');
        job.response.destroy();
      })
      .finally(leave);
  };

  const submit = (job: Job): void => {
    const { attempt, response } = job;
    const id = attempt.attempt;
    waiting.set(id, job);
    response.on('close', () => {
      waiting.delete(id);
      job.abort.abort();
      if (ledger.cancelQueued(id, clock.monotonic())) void task.withdraw(id);
    });
    task.submit(
      {
        id,
        team: attempt.team,
        route: attempt.route,
        serviceClass: attempt.serviceClass,
        weight: services.getWeight(attempt.team),
        maxTokens: attempt.maxTokens,
        deadlineMs: job.arrivedMs + attempt.timeLeftMs,
      },
      {
        start: () => start(job),
        preempt: () => job.abort.abort(),
        refuse: (reason, retryAfterMs) => {
          if (!ledger.cancelQueued(id, clock.monotonic())) return;
          sendRefusal(response, { reason, run: 'not_run', retryAfterMs }, attempt);
        },
      },
    );
  };

  const getRefusal = (attempt: Attempt): Refusal | undefined => {
    if (attempt.incarnation !== incarnation) return { reason: 'incarnation', run: 'not_run' };
    const arrival = ledger.register(attempt, clock.monotonic());
    if (arrival !== 'accepted') return ARRIVAL_REFUSALS[arrival];
    if (!services.isStopping()) return undefined;
    ledger.cancelQueued(attempt.attempt, clock.monotonic());
    return { reason: 'stopping', run: 'not_run' };
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const attempt = parseAttemptHeader(request.headers[HEADER.attempt]);
    if (attempt === undefined) {
      sendRefusal(response, { reason: 'malformed', run: 'not_run' });
      return;
    }
    const body = await readBody(request, MAX_BODY_BYTES);
    if (!body.ok) {
      const detail = body.error.kind;
      sendRefusal(response, { reason: 'malformed', run: 'not_run', detail }, attempt);
      return;
    }
    const refusal = getRefusal(attempt);
    if (refusal !== undefined) {
      sendRefusal(response, refusal, attempt);
      return;
    }
    const arrivedMs = clock.monotonic();
    submit({ attempt, body: body.value, response, arrivedMs, abort: new AbortController() });
  };

  const revoke = (revocation: Revocation): RevocationResult => {
    if (revocation.incarnation !== incarnation) return { state: 'other_incarnation' };
    const state = ledger.revoke(revocation, clock.monotonic());
    const job = waiting.get(revocation.attempt);
    if (state === 'not_sent' && job !== undefined) {
      void task.withdraw(revocation.attempt);
      sendRefusal(job.response, ARRIVAL_REFUSALS.revoked, job.attempt);
    }
    return { state };
  };

  return {
    serve: (request, response) => {
      handle(request, response).catch((fault: unknown) => {
        services.log.warn({ err: fault }, 'attempt failed');
        response.destroy();
      });
    },
    revoke,
    open: () => ledger.open(),
    refusals: refusals.counts,
  };
};
