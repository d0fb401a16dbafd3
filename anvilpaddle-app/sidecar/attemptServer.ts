import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { BYTES_PER_MIB, readBody, sendJson, type Clock, type Logger } from '@anvilpaddle/common';
import {
  ATTEMPT_STATE,
  HEADER,
  parseAttemptHeader,
  type Attempt,
  type Refusal,
  type Revocation,
  type Revoked,
} from '@anvilpaddle/protocol';
import type { AttemptLog } from './attemptLog';
import type { UpstreamAnswer, UpstreamClient } from './upstreamClient';
import type { UpstreamTask } from './upstreamTask';

const MAX_BODY_BYTES = 64 * BYTES_PER_MIB;
const STATUS_REFUSED = 503;
const HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade']);

/** Parts of the sidecar that the attempt server works with. */
export interface AttemptServices {
  readonly incarnation: string;
  readonly task: UpstreamTask;
  readonly client: UpstreamClient;
  readonly attempts: AttemptLog;
  readonly clock: Clock;
  readonly log: Logger;
  readonly isStopping: () => boolean;
  readonly getWeight: (team: string) => number;
}

/** Serves entries' attempts. */
export interface AttemptServer {
  serve(request: IncomingMessage, response: ServerResponse): void;
  revoke(revocation: Revocation): Promise<Revoked>;
  /** Attempts that wait or run. */
  open(): number;
}

const sendRefusal = (response: ServerResponse, refusal: Refusal): void => {
  if (response.headersSent || response.destroyed) return;
  sendJson(response, STATUS_REFUSED, refusal, { [HEADER.refusal]: refusal.reason });
};

const getAnswerHeaders = (answer: UpstreamAnswer): Record<string, string | string[]> =>
  Object.fromEntries(
    Object.entries(answer.headers).filter(
      (header): header is [string, string | string[]] =>
        header[1] !== undefined && !HOP_HEADERS.has(header[0]),
    ),
  );

/** Server of attempts; it alone passes online requests to the upstream. */
export const newAttemptServer = (services: AttemptServices): AttemptServer => {
  const { task, client, attempts, clock, incarnation } = services;
  let open = 0;

  const getEntryRefusal = (attempt: Attempt): Refusal | undefined => {
    if (attempt.incarnation !== incarnation) return { reason: 'incarnation', run: 'not_run' };
    const known = attempts.get(attempt.attempt);
    if (known === ATTEMPT_STATE.revoked) return { reason: 'revoked', run: 'not_run' };
    if (known !== undefined) return { reason: 'duplicate', run: 'unknown' };
    if (services.isStopping()) return { reason: 'stopping', run: 'not_run' };
    return undefined;
  };

  const relay = async (attempt: Attempt, answer: UpstreamAnswer, response: ServerResponse) => {
    const load = JSON.stringify(task.load());
    response.writeHead(answer.status, {
      ...getAnswerHeaders(answer),
      [HEADER.attemptId]: attempt.attempt,
      [HEADER.load]: load,
    });
    await pipeline(answer.body, response);
  };

  const runAtUpstream = async (
    attempt: Attempt,
    body: Buffer,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<void> => {
    attempts.set(attempt.attempt, ATTEMPT_STATE.sent, clock.monotonic());
    const answer = await client.call({
      id: attempt.attempt,
      method: attempt.method,
      path: attempt.path,
      headers: attempt.headers,
      body,
      signal,
    });
    if (answer.ok) {
      await relay(attempt, answer.value, response);
      return;
    }
    const { kind, detail } = answer.error;
    const run = kind === 'not_sent' ? 'not_run' : 'unknown';
    sendRefusal(response, { reason: 'upstream_failed', run, detail });
  };

  const submit = (attempt: Attempt, body: Buffer, response: ServerResponse): void => {
    const id = attempt.attempt;
    const abort = new AbortController();
    const leave = (): void => {
      open -= 1;
      attempts.set(id, ATTEMPT_STATE.done, clock.monotonic());
      task.finish(id, 0);
    };
    open += 1;
    attempts.set(id, ATTEMPT_STATE.queued, clock.monotonic());
    response.on('close', () => {
      abort.abort();
      if (attempts.get(id) === ATTEMPT_STATE.queued) {
        void task.withdraw(id).then((taken) => {
          if (!taken) return;
          open -= 1;
          attempts.set(id, ATTEMPT_STATE.revoked, clock.monotonic());
        });
      }
    });
    task.submit(
      {
        id,
        team: attempt.team,
        route: attempt.route,
        serviceClass: attempt.serviceClass,
        weight: services.getWeight(attempt.team),
        maxTokens: attempt.maxTokens,
        deadlineMs: clock.monotonic() + attempt.timeLeftMs,
      },
      {
        start: () => {
          runAtUpstream(attempt, body, response, abort.signal)
            .catch(() => response.destroy())
            .finally(leave);
        },
        preempt: () => abort.abort(),
        refuse: (reason, retryAfterMs) => {
          open -= 1;
          attempts.set(id, ATTEMPT_STATE.revoked, clock.monotonic());
          sendRefusal(response, { reason, run: 'not_run', retryAfterMs });
        },
      },
    );
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const attempt = parseAttemptHeader(request.headers[HEADER.attempt]);
    if (attempt === undefined) {
      sendRefusal(response, { reason: 'malformed', run: 'not_run' });
      return;
    }
    const body = await readBody(request, MAX_BODY_BYTES);
    if (!body.ok) {
      sendRefusal(response, { reason: 'malformed', run: 'not_run', detail: body.error.kind });
      return;
    }
    const refusal = getEntryRefusal(attempt);
    if (refusal !== undefined) sendRefusal(response, refusal);
    else submit(attempt, body.value, response);
  };

  const revoke = async (revocation: Revocation): Promise<Revoked> => {
    if (revocation.incarnation !== incarnation) return { state: 'other_incarnation' };
    const known = attempts.get(revocation.attempt);
    if (known === ATTEMPT_STATE.sent) return { state: 'sent' };
    if (known === ATTEMPT_STATE.done) return { state: 'done' };
    if (known === ATTEMPT_STATE.queued && !(await task.withdraw(revocation.attempt))) {
      return { state: 'sent' };
    }
    if (known === ATTEMPT_STATE.queued) open -= 1;
    // The tombstone refuses a copy that arrives after its revocation.
    attempts.set(revocation.attempt, ATTEMPT_STATE.revoked, clock.monotonic());
    return { state: 'not_sent' };
  };

  return {
    serve: (request, response) => {
      handle(request, response).catch((fault: unknown) => {
        services.log.warn({ err: fault }, 'attempt failed');
        response.destroy();
      });
    },
    revoke,
    open: () => open,
  };
};
