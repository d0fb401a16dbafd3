/** Runs an attempt, and opens another one beside it if its upstream is slow or silent. */
import type { Clock, Logger, Timer } from '@anvilpaddle/common';
import type { AttemptOutcome } from '@anvilpaddle/decisions';
import type { AttemptReport } from '../callerResponse';
import type { AttemptListener, OnlineAttempt } from './onlineAttempt';
import { HEDGE_END, type HedgeEnd } from './types';

/**
 * Time after which an upstream that has not rejected a request has taken it, although it has not
 * begun to answer: upstreams without room reject at once. No two may run one stream for long.
 */
const ACCEPTANCE_TIMEOUT_MS = 300;
/** Time for which a request that may run at two upstreams waits for the second to begin. */
const HEAD_TIMEOUT_MS = 1000;

/** Where the second attempts of a request come from, and who is told how they end. */
export interface SuccessorSource {
  /** Called before the first of the upstreams that are tried in turn. */
  startRound(): void;
  /** Sends the request to another upstream; undefined if there is none. */
  open(): OnlineAttempt | undefined;
  /** Called for a successor that ended without an answer. */
  onFailed(successor: OnlineAttempt, outcome: AttemptOutcome): void;
  /** Whether two upstreams may run the request at the same time. */
  readonly canRunTwice: boolean;
  /** Called for a successor that was given up before its upstream began to answer; it may have run. */
  onUnused(successor: OnlineAttempt): void;
  /** Age of the attempt at which it is hedged if it has not begun to answer; undefined if it is not. */
  readonly hedgeDelayMs: number | undefined;
  /** Sends the request to another upstream as well; undefined if the service has no room for that. */
  openHedge(): OnlineAttempt | undefined;
  /** Called once for each hedge, with the age of the first attempt in milliseconds. */
  onHedgeEnded(end: HedgeEnd, ageMs: number): void;
}

/** End of an attempt. */
export interface AttemptEnd {
  readonly report: AttemptReport;
  /** Attempt that has the request now; undefined if there is none. */
  readonly successor: OnlineAttempt | undefined;
}

const UNKNOWN: AttemptOutcome = { run: 'unknown', answered: false };

/**
 * Runs an attempt to its end, with at most one other attempt beside it. A silent attempt is kept until
 * another upstream has taken the request: a sound upstream may go on after a silence, and the others
 * may have no room. A slow attempt is hedged: the first of the two that answers has the request.
 */
export const runWithSuccessor = async (
  attempt: OnlineAttempt,
  source: SuccessorSource,
  requestId: string,
  clock: Clock,
  log: Logger,
): Promise<AttemptEnd> => {
  let successor: OnlineAttempt | undefined;
  let headTimer: Timer | undefined;
  let hedgeTimer: Timer | undefined;
  let hedge: OnlineAttempt | undefined;
  let isOver = false;
  const startedMs = clock.monotonic();

  const dropSuccessor = (reason: string): OnlineAttempt | undefined => {
    const dropped = successor;
    if (dropped === undefined) return undefined;
    headTimer?.cancel();
    successor = undefined;
    dropped.abandon();
    log.info({ request: requestId, upstream: dropped.upstream.id, reason }, 'successor ended');
    return dropped;
  };

  const giveUpSuccessor = (reason: string): void => {
    const dropped = dropSuccessor(reason);
    if (dropped !== undefined) source.onUnused(dropped);
  };

  const endHedge = (end: HedgeEnd): void => {
    if (hedge === undefined) return;
    const fields = { request: requestId, upstream: attempt.upstream.id, hedge: hedge.upstream.id };
    const ageMs = Math.round(clock.monotonic() - startedMs);
    hedge = undefined;
    log.info({ ...fields, end, ageMs }, 'hedge ended');
    source.onHedgeEnded(end, ageMs);
  };

  const moveTo = (opened: OnlineAttempt): void => {
    isOver = true;
    headTimer?.cancel();
    const fields = { request: requestId, upstream: attempt.upstream.id };
    if (hedge === opened) endHedge(HEDGE_END.won);
    else log.warn({ ...fields, successor: opened.upstream.id }, 'silent attempt ended');
    attempt.abandon();
  };

  const newSuccessorListener = (opened: OnlineAttempt): AttemptListener => ({
    onSilence: () => undefined,
    onContent: () => undefined,
    onAnswer: () => undefined,
    onHead: () => {
      if (successor === opened && !isOver) moveTo(opened);
    },
  });

  const startSuccessor = (): void => {
    const opened = source.open();
    if (opened === undefined) return;
    successor = opened;
    headTimer = source.canRunTwice
      ? clock.after(HEAD_TIMEOUT_MS, () => {
          dropSuccessor('no response in time');
          source.onFailed(opened, UNKNOWN);
          startSuccessor();
        })
      : clock.after(ACCEPTANCE_TIMEOUT_MS, () => moveTo(opened));
    opened.listen(newSuccessorListener(opened));
    const onEnded = (outcome: AttemptOutcome): void => {
      if (successor !== opened || isOver) return;
      dropSuccessor('rejected or lost');
      source.onFailed(opened, outcome);
      startSuccessor();
    };
    opened.ended.then(onEnded, () => onEnded(UNKNOWN));
  };

  const startHedge = (): void => {
    if (successor !== undefined || isOver) return;
    const opened = source.openHedge();
    if (opened === undefined) return;
    successor = opened;
    hedge = opened;
    const fields = { request: requestId, upstream: attempt.upstream.id };
    log.info({ ...fields, hedge: opened.upstream.id, afterMs: source.hedgeDelayMs }, 'hedge sent');
    const timeoutMs = source.canRunTwice ? HEAD_TIMEOUT_MS : ACCEPTANCE_TIMEOUT_MS;
    headTimer = clock.after(timeoutMs, () => {
      endHedge(HEDGE_END.timedOut);
      giveUpSuccessor('no answer in time');
    });
    opened.listen({
      onSilence: () => undefined,
      onHead: () => undefined,
      onContent: () => undefined,
      onAnswer: () => {
        if (successor === opened && !isOver) moveTo(opened);
      },
    });
    const onEnded = (outcome: AttemptOutcome): void => {
      if (successor !== opened || isOver) return;
      endHedge(HEDGE_END.failed);
      dropSuccessor('rejected or lost');
      source.onFailed(opened, outcome);
    };
    opened.ended.then(onEnded, () => onEnded(UNKNOWN));
  };

  attempt.listen({
    onSilence: () => {
      if (successor !== undefined) return;
      source.startRound();
      startSuccessor();
    },
    onHead: () => {
      if (hedge === undefined) giveUpSuccessor('the silence ended');
    },
    onContent: () => {
      if (hedge === undefined) giveUpSuccessor('the silence ended');
    },
    onAnswer: () => {
      hedgeTimer?.cancel();
      endHedge(HEDGE_END.lost);
      giveUpSuccessor('the first attempt answers');
    },
  });
  if (source.hedgeDelayMs !== undefined) {
    hedgeTimer = clock.after(source.hedgeDelayMs, startHedge);
  }
  const report = await attempt.ended;
  isOver = true;
  headTimer?.cancel();
  hedgeTimer?.cancel();
  // After a loss the hedge goes on alone, as the second attempt of the request.
  endHedge(report.answered ? HEDGE_END.lost : HEDGE_END.won);
  return { report, successor };
};
