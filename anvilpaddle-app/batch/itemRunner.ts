import { newId, SERVICE_CLASS, type Clock } from '@anvilpaddle/common';
import type { Item, Job } from '@anvilpaddle/decisions';
import type { UpstreamClient } from '../sidecar/upstreamClient';
import type { UpstreamDispatcher } from '../sidecar/upstreamDispatcher';
import { newErrorResult, newResponseResult, type ItemResult } from './itemResult';
import { wait } from './verifiedCommit';
import { readResponseBody, type ResponseBody } from './responseBody';

const FAILURE_DELAY_MS = 250;
const REFUSAL_DELAY_MS = 200;
const UNREACHABLE_DELAY_MS = 500;
const NEVER_MS = Number.MAX_SAFE_INTEGER;
const RETRIED_STATUS = new Set([408, 425, 429]);

/** Parts of the sidecar that items run on. */
export interface ItemRunnerDependencies {
  readonly dispatcher: UpstreamDispatcher;
  readonly client: UpstreamClient;
  readonly clock: Clock;
  readonly getWeight: (team: string) => number;
}

/** Terms of one item's run. */
export interface ItemRunOptions {
  readonly job: Job;
  readonly maxAttempts: number;
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
  /** Aborted when the chunk is given up: running items are cancelled. */
  readonly signal: AbortSignal;
  /** Aborted at a planned stop: waiting items are taken back, running ones go on. */
  readonly drainSignal: AbortSignal;
  /** Notes durably that the item is about to be sent; false when the chunk is lost. */
  markStarted(): Promise<boolean>;
  /** Called when the item has got a slot. */
  onStart(): void;
}

/** Runs items at the upstream, behind its online requests. */
export interface ItemRunner {
  /** Result of the item; undefined when the chunk was given up before there was one. */
  run(item: Item, terms: ItemRunOptions): Promise<ItemResult | undefined>;
}

type Outcome =
  | { readonly kind: 'answer'; readonly answer: ResponseBody; readonly id: string }
  /** It may have run, and there is no whole answer. */
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'not_sent' }
  | { readonly kind: 'preempted' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'abandoned'; readonly wasSent: boolean };

const newOutcomeUnknown = (item: Item): ItemResult =>
  newErrorResult(item.customId, {
    code: 'outcome_unknown',
    message: 'the call was sent, its answer was lost, and it may not be repeated',
  });

/** Runner on the upstream's task and client. */
export const newItemRunner = (services: ItemRunnerDependencies): ItemRunner => {
  const { dispatcher, client, clock } = services;
  let suspects: Promise<unknown> = Promise.resolve();

  const call = async (
    id: string,
    item: Item,
    terms: ItemRunOptions,
    signal: AbortSignal,
  ): Promise<Outcome> => {
    const body = item.body === undefined || item.body === null ? '' : JSON.stringify(item.body);
    const answer = await client.send({
      id,
      method: item.method,
      path: item.url,
      headers: body === '' ? {} : { 'content-type': 'application/json' },
      body: Buffer.from(body),
      signal,
    });
    if (!answer.ok) {
      if (answer.error.kind === 'not_sent') return { kind: 'not_sent' };
      return { kind: 'cut', detail: answer.error.detail };
    }
    const read = await readResponseBody(
      answer.value,
      terms.maxResponseBytes,
      item.model !== undefined,
    );
    return read === undefined
      ? { kind: 'cut', detail: 'the answer was cut or too large' }
      : { kind: 'answer', answer: read, id };
  };

  const runOnce = (
    id: string,
    item: Item,
    terms: ItemRunOptions,
    wasPreempted = false,
  ): Promise<Outcome> =>
    new Promise((resolve) => {
      const abort = new AbortController();
      let isStarted = false;
      let isPreempted = false;
      const getWhenAborted = (outcome: Outcome): Outcome => {
        if (outcome.kind === 'answer') return outcome;
        if (isPreempted) return { kind: 'preempted' };
        return terms.signal.aborted ? { kind: 'abandoned', wasSent: true } : outcome;
      };
      const withdraw = (): void => {
        if (isStarted) return;
        void dispatcher.withdraw(id).then((taken) => {
          if (taken) resolve({ kind: 'abandoned', wasSent: false });
        });
      };
      const giveUp = (): void => {
        abort.abort();
        withdraw();
      };
      const finish = (outcome: Outcome): void => {
        terms.signal.removeEventListener('abort', giveUp);
        terms.drainSignal.removeEventListener('abort', withdraw);
        resolve(outcome);
      };
      terms.signal.addEventListener('abort', giveUp, { once: true });
      terms.drainSignal.addEventListener('abort', withdraw, { once: true });
      const start = (): void => {
        isStarted = true;
        terms.onStart();
        const timer = clock.after(terms.timeoutMs, () => abort.abort());
        call(id, item, terms, abort.signal)
          .catch((): Outcome => ({ kind: 'cut', detail: 'the call failed' }))
          .then((outcome) => {
            timer.cancel();
            // The slot is given back before the item may be submitted again under the same id.
            dispatcher.finish(id, outcome.kind === 'answer' ? outcome.answer.tokens : 0);
            finish(getWhenAborted(outcome));
          });
      };
      dispatcher.submit(
        {
          id,
          team: terms.job.team,
          route: terms.job.route,
          serviceClass: SERVICE_CLASS.batch,
          weight: services.getWeight(terms.job.team),
          maxTokens: item.maxTokens,
          deadlineMs: NEVER_MS,
          isPreemptible: item.isRepeatable,
          wasPreempted,
        },
        {
          start,
          preempt: () => {
            // Cancelling a call that may not be repeated would lose its outcome.
            if (!item.isRepeatable) return;
            isPreempted = true;
            abort.abort();
          },
          refuse: () => finish({ kind: 'refused' }),
        },
      );
      if (terms.signal.aborted) giveUp();
      if (terms.drainSignal.aborted) withdraw();
    });

  /** Items that were running when an answer was cut go one at a time: one may crash the engine. */
  const runSuspect = (id: string, item: Item, terms: ItemRunOptions): Promise<Outcome> => {
    const run = suspects.then(() => runOnce(id, item, terms));
    suspects = run;
    return run;
  };

  const isFailure = (outcome: Outcome): boolean =>
    outcome.kind === 'cut' ||
    (outcome.kind === 'answer' &&
      (outcome.answer.status >= 500 || RETRIED_STATUS.has(outcome.answer.status)));

  const getFinal = (item: Item, outcome: Outcome): ItemResult | undefined => {
    if (outcome.kind === 'answer') {
      const { status, body } = outcome.answer;
      return newResponseResult(item.customId, { status, requestId: outcome.id, body });
    }
    if (!item.isRepeatable) return newOutcomeUnknown(item);
    const message = outcome.kind === 'cut' ? outcome.detail : 'the call failed';
    return newErrorResult(item.customId, { code: 'upstream_failed', message });
  };

  const isSent = ({ kind }: Outcome): boolean => kind === 'cut' || kind === 'preempted';

  /** Waits that cost no attempt: the upstream has not run the item, or was told to stop it. */
  const getFreeDelayMs = (outcome: Outcome): number | undefined => {
    if (outcome.kind === 'preempted') return 0;
    if (outcome.kind === 'refused') return REFUSAL_DELAY_MS;
    return outcome.kind === 'not_sent' ? UNREACHABLE_DELAY_MS : undefined;
  };

  return {
    run: async (item, terms) => {
      if (!item.isRepeatable && !(await terms.markStarted())) return undefined;
      let failures = 0;
      let id = newId('item');
      let isSuspect = false;
      let wasPreempted = false;
      while (!terms.signal.aborted && !terms.drainSignal.aborted) {
        const outcome: Outcome = await (isSuspect
          ? runSuspect(id, item, terms)
          : runOnce(id, item, terms, wasPreempted));
        wasPreempted = outcome.kind === 'preempted';
        if (outcome.kind === 'abandoned') {
          return outcome.wasSent && !item.isRepeatable ? newOutcomeUnknown(item) : undefined;
        }
        if (!item.isRepeatable && (isSent(outcome) || outcome.kind === 'answer')) {
          return getFinal(item, outcome);
        }
        const freeMs = getFreeDelayMs(outcome);
        if (freeMs === undefined && !isFailure(outcome)) return getFinal(item, outcome);
        if (freeMs === undefined) failures += 1;
        if (failures >= terms.maxAttempts) return getFinal(item, outcome);
        isSuspect ||= outcome.kind === 'cut';
        // A preempted item keeps its id, and by it its place in line.
        if (outcome.kind !== 'preempted') id = newId('item');
        await wait(clock, freeMs ?? FAILURE_DELAY_MS * 4 ** (failures - 1), terms.drainSignal);
      }
      return undefined;
    },
  };
};
