/** Sidecar server that queues, runs, relays and revokes the attempts of entry processes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import {
  BYTES_PER_MIB,
  HOP_BY_HOP_HEADERS,
  readBody,
  sendJson,
  STATUSES_WITHOUT_BODY,
  type Clock,
  type Logger,
} from '@anvilpaddle/common';
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
import { isEventStream, newStreamCheck } from './streamCheck';
import { newTokenCounter } from './tokenCounter';
import type { UpstreamResponse, UpstreamClient } from './upstreamClient';
import type { UpstreamDispatcher } from './upstreamDispatcher';

const MAX_BODY_BYTES = 64 * BYTES_PER_MIB;
const REFUSED_STATUS = 503;
const FULL_LEDGER_RETRY_AFTER_MS = 1000;

/** What the attempt server needs from its sidecar. */
export interface AttemptServerDependencies {
  readonly incarnation: string;
  readonly dispatcher: UpstreamDispatcher;
  readonly client: UpstreamClient;
  readonly ledger: AttemptLedger;
  readonly clock: Clock;
  readonly log: Logger;
  readonly isStopping: () => boolean;
  readonly getWeight: (team: string) => number;
}

/** Handles attempts and revocations of entry processes. */
export interface AttemptServer {
  /** Handles one HTTP request that carries an attempt. */
  serve(request: IncomingMessage, response: ServerResponse): void;
  /** Stops an attempt that has not been sent to the upstream; the result tells its state. */
  revoke(revocation: Revocation): RevocationResult;
  /** Number of attempts that wait or run. */
  open(): number;
  /** Number of attempts refused so far, by reason. */
  readonly refusals: Readonly<Record<string, number>>;
}

/** An accepted attempt with its body and the response to write to. */
interface AcceptedAttempt {
  readonly attempt: Attempt;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly arrivedMs: number;
  readonly abort: AbortController;
}

const REGISTRATION_REFUSALS: Readonly<Record<Exclude<RegistrationResult, 'accepted'>, Refusal>> = {
  duplicate: { reason: 'duplicate', run: 'unknown' },
  revoked: { reason: 'revoked', run: 'not_run' },
  expired: { reason: 'expired', run: 'unknown' },
  full: { reason: 'overloaded', run: 'not_run', retryAfterMs: FULL_LEDGER_RETRY_AFTER_MS },
};

const hasBody = (method: string, status: number): boolean =>
  method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);

const getResponseHeaders = (
  { method }: Attempt,
  { status, headers }: UpstreamResponse,
): Record<string, string | string[]> =>
  Object.fromEntries(
    Object.entries(headers).filter(
      (header): header is [string, string | string[]] =>
        header[1] !== undefined &&
        !HOP_BY_HOP_HEADERS.has(header[0]) &&
        !header[0].startsWith(INTERNAL_HEADER_PREFIX) &&
        // A HEAD response states the length of a body that is not sent on this connection. A stream
        // is sent in chunks, whose end can still be withheld when the stream was broken off.
        (header[0] !== 'content-length' || (hasBody(method, status) && !isEventStream(headers))),
    ),
  );

/** Attempt server of a sidecar; online requests reach the upstream only through it. */
export const newAttemptServer = (dependencies: AttemptServerDependencies): AttemptServer => {
  const { dispatcher, client, ledger, clock, incarnation } = dependencies;

  const waiting = new Map<string, AcceptedAttempt>();
  const refusals = newRefusalCounter('attempt', dependencies.log);

  /** The refusal carries the attempt's id, so that it can't be taken for another attempt's. */
  const sendRefusal = (response: ServerResponse, refusal: Refusal, attempt?: Attempt): void => {
    refusals.add(refusal.reason);
    if (response.headersSent || response.destroyed) return;
    if (attempt !== undefined) response.setHeader(HEADER.attemptId, attempt.attempt);
    sendJson(response, REFUSED_STATUS, refusal, { [HEADER.refusal]: refusal.reason });
  };

  const relay = async (
    accepted: AcceptedAttempt,
    upstreamResponse: UpstreamResponse,
    queueWaitMs: number,
  ): Promise<number> => {
    const counter = newTokenCounter(String(upstreamResponse.headers['content-type'] ?? ''));
    accepted.response.writeHead(upstreamResponse.status, {
      ...getResponseHeaders(accepted.attempt, upstreamResponse),
      [HEADER.attemptId]: accepted.attempt.attempt,
      [HEADER.load]: JSON.stringify(dispatcher.load()),
      [HEADER.queueWait]: String(Math.round(queueWaitMs)),
    });
    // A truncated response destroys the connection, so that the entry process detects it as well.
    const check = newStreamCheck(upstreamResponse);
    await pipeline(upstreamResponse.body, check, counter.stream, accepted.response).catch(() =>
      accepted.response.destroy(),
    );
    return counter.tokens();
  };

  /** Sends an attempt to the upstream and relays the response; resolves to its output tokens. */
  const runAtUpstream = async (accepted: AcceptedAttempt): Promise<number> => {
    const { attempt, response } = accepted;
    const queueWaitMs = clock.monotonic() - accepted.arrivedMs;
    const result = await client.send({
      id: attempt.attempt,
      method: attempt.method,
      path: attempt.path,
      headers: attempt.headers,
      body: accepted.body,
      signal: accepted.abort.signal,
    });
    const wasSent = result.ok || result.error.kind !== 'not_sent';
    if (!wasSent) ledger.finish(attempt.attempt, false, clock.monotonic());
    if (!result.ok) {
      const run = wasSent ? 'unknown' : 'not_run';
      const { detail } = result.error;
      sendRefusal(response, { reason: 'upstream_failed', run, detail }, attempt);
      return 0;
    }
    return relay(accepted, result.value, queueWaitMs);
  };

  const start = (accepted: AcceptedAttempt): void => {
    const id = accepted.attempt.attempt;
    let tokens = 0;
    waiting.delete(id);
    const end = (): void => {
      ledger.finish(id, true, clock.monotonic());
      dispatcher.finish(id, tokens);
    };
    // Every attempt passes this check: one that was cancelled or revoked is never sent.
    if (!ledger.markSent(id, clock.monotonic())) {
      end();
      return;
    }
    runAtUpstream(accepted)
      .then((outputTokens) => {
        tokens = outputTokens;
      })
      .catch((error: unknown) => {
        dependencies.log.warn({ err: error, attempt: id }, 'attempt failed');
        accepted.response.destroy();
      })
      .finally(end);
  };

  const submit = (accepted: AcceptedAttempt): void => {
    const { attempt, response } = accepted;
    const id = attempt.attempt;
    waiting.set(id, accepted);
    response.on('close', () => {
      waiting.delete(id);
      accepted.abort.abort();
      if (ledger.cancelQueued(id, clock.monotonic())) void dispatcher.withdraw(id);
    });
    dispatcher.submit(
      {
        id,
        team: attempt.team,
        route: attempt.route,
        serviceClass: attempt.serviceClass,
        weight: dependencies.getWeight(attempt.team),
        maxTokens: attempt.maxTokens,
        deadlineMs: accepted.arrivedMs + attempt.timeLeftMs,
      },
      {
        start: () => start(accepted),
        preempt: () => accepted.abort.abort(),
        refuse: (reason, retryAfterMs) => {
          if (!ledger.cancelQueued(id, clock.monotonic())) return;
          sendRefusal(response, { reason, run: 'not_run', retryAfterMs }, attempt);
        },
      },
    );
  };

  /** Registers the attempt; returns the refusal, or undefined when it is accepted. */
  const registerAttempt = (attempt: Attempt): Refusal | undefined => {
    if (attempt.incarnation !== incarnation) return { reason: 'incarnation', run: 'not_run' };
    const registration = ledger.register(attempt, clock.monotonic());
    if (registration !== 'accepted') return REGISTRATION_REFUSALS[registration];
    if (!dependencies.isStopping()) return undefined;
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
    const refusal = registerAttempt(attempt);
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
    const accepted = waiting.get(revocation.attempt);
    if (state === 'not_sent' && accepted !== undefined) {
      void dispatcher.withdraw(revocation.attempt);
      sendRefusal(accepted.response, REGISTRATION_REFUSALS.revoked, accepted.attempt);
    }
    return { state };
  };

  return {
    serve: (request, response) => {
      handle(request, response).catch((error: unknown) => {
        dependencies.log.warn({ err: error }, 'attempt failed');
        response.destroy();
      });
    },
    revoke,
    open: () => ledger.open(),
    refusals: refusals.counts,
  };
};
