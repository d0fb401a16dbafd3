/** Runs batch items at the upstream, with retries. */
import { newId, SERVICE_CLASS, type Clock } from '@anvilpaddle/common';
import type { Item, Job } from '@anvilpaddle/decisions';
import type { UpstreamClient } from '../sidecar/upstreamClient';
import type { UpstreamDispatcher } from '../sidecar/upstreamDispatcher';
import { newErrorResult, newResponseResult, type ItemResult } from './itemResult';
import { wait } from './verifiedCommit';
import { readResponseBody, type ResponseBody } from './responseBody';

const FIRST_FAILURE_DELAY_MS = 250;
const REFUSAL_DELAY_MS = 200;
const UNREACHABLE_DELAY_MS = 500;
const NO_DEADLINE_MS = Number.MAX_SAFE_INTEGER;
const RETRIED_STATUSES = new Set([408, 425, 429]);

/** What the item runner needs from its sidecar. */
export interface ItemRunnerDependencies {
  readonly dispatcher: UpstreamDispatcher;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly getWeight: (team: string) => number;
}

/** Limits, signals and callbacks for the run of one item. */
export interface ItemRunOptions {
  readonly job: Job;
  readonly maxAttempts: number;
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
  /** Aborted when the chunk is abandoned or released: running items are cancelled. */
  readonly signal: AbortSignal;
  /** Aborted at a planned stop: queued items are withdrawn, running ones continue. */
  readonly drainSignal: AbortSignal;
  /** Records durably that the item is about to be sent; false when the claim has been lost. */
  markStarted(): Promise<boolean>;
  /** Whether earlier owners of the item were lost, perhaps to the item. */
  readonly isSuspect: boolean;
  /** Records durably that a suspect of lost owners begins to run; false when the claim was lost. */
  markRunning(): Promise<boolean>;
  /** Called each time the item gets a slot. */
  onStart(): void;
}

/** Runs items at the upstream at a lower priority than online requests. */
export interface ItemRunner {
  /** Resolves to the result, or to undefined when the run was stopped before there was one. */
  run(item: Item, options: ItemRunOptions): Promise<ItemResult | undefined>;
}

type Outcome =
  | { readonly kind: 'answer'; readonly response: ResponseBody; readonly id: string }
  /** The item may have run, and there is no complete response. */
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'not_sent' }
  | { readonly kind: 'preempted' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'abandoned'; readonly wasSent: boolean };

const newUnknownOutcome = (item: Item): ItemResult =>
  newErrorResult(item.customId, {
    code: 'outcome_unknown',
    message: 'the call was sent, its answer was lost, and it may not be repeated',
  });

/** Creates an item runner. */
export const newItemRunner = (dependencies: ItemRunnerDependencies): ItemRunner => {
  const { dispatcher, client, clock } = dependencies;
  /** Last run of a suspect item, after which the next one starts. */
  let lastSuspectRun: Promise<unknown> = Promise.resolve();

  const send = async (
    id: string,
    item: Item,
    options: ItemRunOptions,
    signal: AbortSignal,
  ): Promise<Outcome> => {
    const body = item.body === undefined || item.body === null ? '' : JSON.stringify(item.body);
    const response = await client.send({
      id,
      method: item.method,
      path: item.url,
      headers: body === '' ? {} : { 'content-type': 'application/json' },
      body: Buffer.from(body),
      signal,
    });
    if (!response.ok) {
      if (response.error.kind === 'not_sent') return { kind: 'not_sent' };
      return { kind: 'cut', detail: response.error.detail };
    }
    const responseBody = await readResponseBody(
      response.value,
      options.maxResponseBytes,
      item.model !== undefined,
    );
    return responseBody === undefined
      ? { kind: 'cut', detail: 'the answer was cut or too large' }
      : { kind: 'answer', response: responseBody, id };
  };

  const runOnce = (
    id: string,
    item: Item,
    options: ItemRunOptions,
    wasPreempted = false,
  ): Promise<Outcome> =>
    new Promise((resolve) => {
      const abort = new AbortController();
      let isStarted = false;
      let isPreempted = false;
      const getOutcomeAfterAbort = (outcome: Outcome): Outcome => {
        if (outcome.kind === 'answer') return outcome;
        if (isPreempted) return { kind: 'preempted' };
        return options.signal.aborted ? { kind: 'abandoned', wasSent: true } : outcome;
      };
      const withdraw = (): void => {
        if (isStarted) return;
        void dispatcher.withdraw(id).then((isWithdrawn) => {
          if (isWithdrawn) resolve({ kind: 'abandoned', wasSent: false });
        });
      };
      const cancel = (): void => {
        abort.abort();
        withdraw();
      };
      const finish = (outcome: Outcome): void => {
        options.signal.removeEventListener('abort', cancel);
        options.drainSignal.removeEventListener('abort', withdraw);
        resolve(outcome);
      };
      options.signal.addEventListener('abort', cancel, { once: true });
      options.drainSignal.addEventListener('abort', withdraw, { once: true });
      const start = (): void => {
        isStarted = true;
        options.onStart();
        const timer = clock.after(options.timeoutMs, () => abort.abort());
        send(id, item, options, abort.signal)
          .catch((): Outcome => ({ kind: 'cut', detail: 'the call failed' }))
          .then((outcome) => {
            timer.cancel();
            // The slot is freed before the item may be submitted again under the same id.
            dispatcher.finish(id, outcome.kind === 'answer' ? outcome.response.tokens : 0);
            finish(getOutcomeAfterAbort(outcome));
          });
      };
      dispatcher.submit(
        {
          id,
          team: options.job.team,
          route: options.job.route,
          serviceClass: SERVICE_CLASS.batch,
          weight: dependencies.getWeight(options.job.team),
          maxTokens: item.maxTokens,
          deadlineMs: NO_DEADLINE_MS,
          isPreemptible: item.isRepeatable,
          wasPreempted,
        },
        {
          start,
          preempt: () => {
            // Cancelling a non-repeatable request would lose its outcome.
            if (!item.isRepeatable) return;
            isPreempted = true;
            abort.abort();
          },
          refuse: () => finish({ kind: 'refused' }),
        },
      );
      if (options.signal.aborted) cancel();
      if (options.drainSignal.aborted) withdraw();
    });

  /**
   * Runs items whose response was truncated, or whose owners were lost, one at a time: one of them may
   * crash the engine or this sidecar, and the crash then affects no other suspect.
   */
  const runSuspect = (id: string, item: Item, options: ItemRunOptions): Promise<Outcome> => {
    const run = lastSuspectRun.then(async (): Promise<Outcome> => {
      if (options.isSuspect && !(await options.markRunning())) {
        return { kind: 'abandoned', wasSent: false };
      }
      return runOnce(id, item, options);
    });
    lastSuspectRun = run.catch(() => undefined);
    return run;
  };

  const isFailedAttempt = (outcome: Outcome): boolean =>
    outcome.kind === 'cut' ||
    (outcome.kind === 'answer' &&
      (outcome.response.status >= 500 || RETRIED_STATUSES.has(outcome.response.status)));

  const getResult = (item: Item, outcome: Outcome): ItemResult | undefined => {
    if (outcome.kind === 'answer') {
      const { status, body } = outcome.response;
      return newResponseResult(item.customId, { status, requestId: outcome.id, body });
    }
    if (!item.isRepeatable) return newUnknownOutcome(item);
    const message = outcome.kind === 'cut' ? outcome.detail : 'the call failed';
    return newErrorResult(item.customId, { code: 'upstream_failed', message });
  };

  const mayHaveRun = ({ kind }: Outcome): boolean => kind === 'cut' || kind === 'preempted';

  /**
   * Delay before a retry that does not count as an attempt, because the upstream has not run the
   * item or was told to stop it; undefined for other outcomes.
   */
  const getUncountedDelayMs = (outcome: Outcome): number | undefined => {
    if (outcome.kind === 'preempted') return 0;
    if (outcome.kind === 'refused') return REFUSAL_DELAY_MS;
    return outcome.kind === 'not_sent' ? UNREACHABLE_DELAY_MS : undefined;
  };

  return {
    run: async (item, options) => {
      if (!item.isRepeatable && !(await options.markStarted())) return undefined;
      let failures = 0;
      let id = newId('item');
      let { isSuspect } = options;
      let wasPreempted = false;
      while (!options.signal.aborted && !options.drainSignal.aborted) {
        const outcome: Outcome = await (isSuspect
          ? runSuspect(id, item, options)
          : runOnce(id, item, options, wasPreempted));
        wasPreempted = outcome.kind === 'preempted';
        if (outcome.kind === 'abandoned') {
          return outcome.wasSent && !item.isRepeatable ? newUnknownOutcome(item) : undefined;
        }
        if (!item.isRepeatable && (mayHaveRun(outcome) || outcome.kind === 'answer')) {
          return getResult(item, outcome);
        }
        const delayMs = getUncountedDelayMs(outcome);
        if (delayMs === undefined && !isFailedAttempt(outcome)) return getResult(item, outcome);
        if (delayMs === undefined) failures += 1;
        if (failures >= options.maxAttempts) return getResult(item, outcome);
        isSuspect ||= outcome.kind === 'cut';
        // A preempted item keeps its id and with it its position in the queue.
        if (outcome.kind !== 'preempted') id = newId('item');
        await wait(
          clock,
          delayMs ?? FIRST_FAILURE_DELAY_MS * 4 ** (failures - 1),
          options.drainSignal,
        );
      }
      return undefined;
    },
  };
};
