/** Runs an attempt, and moves its request to another upstream if the first is silent. */
import type { Clock, Logger, Timer } from '@anvilpaddle/common';
import type { AttemptOutcome } from '@anvilpaddle/decisions';
import type { AttemptReport } from '../callerResponse';
import type { AttemptListener, OnlineAttempt } from './onlineAttempt';

/**
 * Time after which an upstream that has not rejected a request has taken it, although it has not
 * begun to answer: upstreams without room reject at once. No two may run one stream for long.
 */
const ACCEPTANCE_TIMEOUT_MS = 300;
/** Time for which a request that may run at two upstreams waits for the second to begin. */
const HEAD_TIMEOUT_MS = 1000;

/** How successors of a silent attempt are found. */
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
}

/** End of an attempt. */
export interface AttemptEnd {
  readonly report: AttemptReport;
  /** Attempt that has the request now; undefined if there is none. */
  readonly successor: OnlineAttempt | undefined;
}

const UNKNOWN: AttemptOutcome = { run: 'unknown', answered: false };

/**
 * Runs an attempt to its end. A silent attempt is kept until another upstream has taken the request: a
 * sound upstream may go on after a silence, and the others may have no room.
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
  let isOver = false;

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

  const moveTo = (opened: OnlineAttempt): void => {
    isOver = true;
    headTimer?.cancel();
    const fields = { request: requestId, upstream: attempt.upstream.id };
    log.warn({ ...fields, successor: opened.upstream.id }, 'silent attempt ended');
    attempt.abandon();
  };

  const newSuccessorListener = (opened: OnlineAttempt): AttemptListener => ({
    onSilence: () => undefined,
    onContent: () => undefined,
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

  attempt.listen({
    onSilence: () => {
      if (successor !== undefined) return;
      source.startRound();
      startSuccessor();
    },
    onHead: () => giveUpSuccessor('the silence ended'),
    onContent: () => giveUpSuccessor('the silence ended'),
  });
  const report = await attempt.ended;
  isOver = true;
  headTimer?.cancel();
  return { report, successor };
};
