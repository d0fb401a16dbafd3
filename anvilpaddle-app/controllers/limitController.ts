/**
 * Decisions of an entry on rate limits that all entries share, with messages to other holders. The
 * view lists the member entries, among which are the holders of each team's tokens, and the entries
 * that are about to become members.
 */
import { getCompositeKey } from '@anvilpaddle/common';
import {
  BORROWED_TOKEN_LIFETIME_MS,
  LOAN_LIFETIME_MS,
  newDistributedLimiter,
  type Admission,
  type RateLimit,
} from '@anvilpaddle/decisions';
import { newMailbox, type Clock, type Logger } from '@anvilpaddle/common';
import type { MethodResult, LimitView, MethodParams } from '@anvilpaddle/protocol';
import { newLimitMembership, type LimitMembershipDependencies } from './limitMembership';

/** Handlers of the methods for distributed limits. */
export interface LimitHandlers {
  'limit.borrow'(params: MethodParams<'limit.borrow'>): MethodResult<'limit.borrow'>;
  'limit.giveBack'(params: MethodParams<'limit.giveBack'>): MethodResult<'limit.giveBack'>;
  'limit.offer'(params: MethodParams<'limit.offer'>): Promise<MethodResult<'limit.offer'>>;
  'limit.confirm'(params: MethodParams<'limit.confirm'>): MethodResult<'limit.confirm'>;
  'limit.view'(): MethodResult<'limit.view'>;
}

/** State of the distributed limits at one entry, as shown to operators. */
export interface LimitStatus {
  readonly view: LimitView | undefined;
  /** Whether this entry holds tokens by a trusted view. */
  readonly holding: boolean;
  /** Teams with a state in memory. */
  readonly teams: number;
}

/** Admits requests of a team within the rate and burst that all entries share. */
export interface LimitController {
  /** Starts to join the view; call it once the port for messages between processes is bound. */
  start(): void;
  /** Decides on one request; borrows tokens from other entries when necessary. */
  admit(team: string): Promise<Admission>;
  /** Returns the state that is shown to operators. */
  status(): LimitStatus;
  /** Tokens of a team that this entry can spend, its own and borrowed ones. */
  tokens(team: string): number;
  readonly handlers: LimitHandlers;
  /** Transfers the tokens to other holders and leaves the view. */
  close(): Promise<void>;
}

/** Dependencies of the limit controller. */
export interface LimitControllerDependencies extends LimitMembershipDependencies {
  /** Identifies this run of the process. */
  readonly incarnation: string;
  readonly getRateLimit: (team: string) => RateLimit;
  /** Interval at which the view is read until it is settled. */
  readonly tickIntervalMs: number;
  readonly log: Logger;
}

/** Time after which a request no longer waits for a loan from one holder. */
const BORROW_TIMEOUT_MS = 50;
/** Interval at which unspent borrowed tokens are returned. */
const RETURN_INTERVAL_MS = BORROWED_TOKEN_LIFETIME_MS / 4;
/** Age at which unspent borrowed tokens are returned. */
const RETURN_AGE_MS = BORROWED_TOKEN_LIFETIME_MS / 2;
/** Ticks between two reads of the view once it is settled. */
const SETTLED_REFRESH_TICKS = 4;
/** Pause after which other entries may have removed this one from the view. */
const MAX_PAUSE_MS = 5000;
/** Time from the first view during which a request is retried rather than refused. */
const START_GRACE_PERIOD_MS = 1000;
const START_RETRY_INTERVAL_MS = 50;
/** Retry delay given to requests that arrive while this entry stops. */
const STOPPING_RETRY_AFTER_MS = 1000;

/** Creates a controller that holds a share of the tokens and borrows from other holders. */
export const newLimitController = (dependencies: LimitControllerDependencies): LimitController => {
  const { address, peers, clock, log } = dependencies;
  const limiter = newDistributedLimiter(
    address,
    dependencies.incarnation,
    dependencies.getRateLimit,
  );
  const membership = newLimitMembership(limiter, dependencies);
  /** Number of requests that wait for a decision, by team. */
  const waitingByTeam = new Map<string, number>();
  /** Requests for a loan that wait for a response, by team and holder. */
  const runningBorrows = new Map<string, Promise<void>>();
  /** End of the grace period after the start; undefined until the first view. */
  let graceEndMs: number | undefined;
  /** Time of the last tick, or of the last pause that was noticed. */
  let lastActiveMs: number | undefined;
  let ticks = 0;
  let isClosing = false;
  let isLending = true;

  const now = (): number => clock.monotonic();

  /**
   * After a long pause, stops using this entry's share until the view has been read again, since
   * other entries may hold the share by now.
   */
  const checkForPause = (): void => {
    if (lastActiveMs === undefined || now() - lastActiveMs <= MAX_PAUSE_MS) return;
    limiter.suspend(now());
    lastActiveMs = now();
  };

  const mailbox = newMailbox<'refresh'>(
    async () => {
      await membership.refresh();
      if (graceEndMs === undefined && limiter.view() !== undefined) {
        graceEndMs = now() + START_GRACE_PERIOD_MS;
      }
    },
    (error) => log.error({ err: error }, 'limit controller failed'),
  );
  const refresh = (): void => {
    if (mailbox.size() === 0) mailbox.post('refresh');
  };

  const sleep = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(delayMs, resolve);
    });

  /** Asks a holder for tokens and records its response. */
  const borrow = async (team: string, holder: string): Promise<void> => {
    const askedMs = now();
    const params = limiter.newBorrow(team, holder, waitingByTeam.get(team) ?? 1, askedMs);
    const response = await peers.call(holder, 'limit.borrow', params);
    checkForPause();
    if (!response.ok) {
      limiter.recordNoAnswer(holder, now());
      return;
    }
    limiter.creditLoan(team, holder, response.value, askedMs, now());
    if (response.value.epoch > (limiter.view()?.epoch ?? 0)) refresh();
  };

  /** Borrows with a timeout; concurrent requests of a team share one message to a holder. */
  const borrowOnce = async (team: string, holder: string): Promise<void> => {
    const key = getCompositeKey(team, holder);
    const running = runningBorrows.get(key);
    if (running !== undefined) {
      await running;
      return;
    }
    const borrowed = new Promise<void>((resolve) => {
      const timer = clock.after(BORROW_TIMEOUT_MS, () => {
        limiter.recordNoAnswer(holder, now());
        resolve();
      });
      void borrow(team, holder).finally(() => {
        timer.cancel();
        resolve();
      });
    });
    runningBorrows.set(key, borrowed);
    await borrowed;
    runningBorrows.delete(key);
  };

  /** Decides on a request, asking holders for tokens until one lends them or none is left. */
  const decide = async (team: string): Promise<Admission> => {
    const tried = new Set<string>();
    for (;;) {
      checkForPause();
      const step = limiter.decide(team, tried, now());
      if (step.kind === 'decided') return step.admission;
      const wasAlreadyRunning = runningBorrows.has(getCompositeKey(team, step.holder));
      await borrowOnce(team, step.holder);
      // A message that was already running may not have counted this request.
      if (!wasAlreadyRunning) tried.add(step.holder);
    }
  };

  /** Whether to retry a refused request: just after a start, the share of the tokens can be missing. */
  const isStarting = (arrivedMs: number): boolean =>
    graceEndMs === undefined ? now() < arrivedMs + START_GRACE_PERIOD_MS : now() < graceEndMs;

  const admit = async (team: string): Promise<Admission> => {
    if (isClosing) return { admitted: false, retryAfterMs: STOPPING_RETRY_AFTER_MS };
    const arrivedMs = now();
    limiter.recordArrival(team, arrivedMs);
    waitingByTeam.set(team, (waitingByTeam.get(team) ?? 0) + 1);
    try {
      let admission = await decide(team);
      while (!admission.admitted && isStarting(arrivedMs)) {
        await sleep(START_RETRY_INTERVAL_MS);
        admission = await decide(team);
      }
      const prefetchHolder = limiter.prefetchHolder(team, now());
      if (prefetchHolder !== undefined) void borrowOnce(team, prefetchHolder);
      return admission;
    } finally {
      const remaining = (waitingByTeam.get(team) ?? 1) - 1;
      if (remaining > 0) waitingByTeam.set(team, remaining);
      else waitingByTeam.delete(team);
    }
  };

  /** Returns unspent borrowed tokens that were asked for at least `ageMs` ago. */
  const returnLoans = async (ageMs: number): Promise<void> => {
    await Promise.all(
      limiter
        .takeDueReturns(ageMs, now())
        .map((due) => peers.call(due.holder, 'limit.giveBack', due.giveBack)),
    );
  };

  const tick = (): void => {
    checkForPause();
    lastActiveMs = now();
    ticks += 1;
    limiter.removeIdleTeams(now());
    if (!membership.isSettled() || ticks % SETTLED_REFRESH_TICKS === 0) refresh();
  };

  const timers: ReturnType<Clock['every']>[] = [];

  /**
   * Offers all held tokens to the holders of one rank; each takes what its own share has room for.
   */
  const offerToRank = async (rank: number): Promise<boolean> => {
    const offers = new Map<string, string[]>();
    limiter.heldTeams(now()).forEach((team) => {
      const holder = limiter.otherHolders(team)[rank];
      if (holder !== undefined) offers.set(holder, [...(offers.get(holder) ?? []), team]);
    });
    await Promise.all(
      [...offers].map(([holder, teams]) => peers.call(holder, 'limit.offer', { address, teams })),
    );
    return offers.size > 0;
  };

  /** Offers the tokens to the holders rank by rank, until no team has a holder of the next rank. */
  const offerTokens = async (): Promise<void> => {
    for (let rank = 0; await offerToRank(rank); rank += 1);
  };

  /** Takes tokens of a team from a leaving holder, as far as this entry's share has room. */
  const takeOffer = async (leavingHolder: string, team: string): Promise<void> => {
    const need = limiter.freeCapacity(team, now());
    if (need <= 0) return;
    const askedMs = now();
    const response = await peers.call(leavingHolder, 'limit.borrow', {
      team,
      need,
      extra: 0,
      closed: [],
    });
    if (response.ok) limiter.depositLoan(team, response.value, askedMs, now());
  };

  return {
    start: () => {
      timers.push(clock.every(dependencies.tickIntervalMs, tick));
      timers.push(
        clock.every(RETURN_INTERVAL_MS, () => {
          void returnLoans(RETURN_AGE_MS);
        }),
      );
      tick();
    },
    admit,
    status: () => ({
      view: limiter.view(),
      holding: limiter.isHolding(),
      teams: limiter.teamCount(),
    }),
    tokens: (team) => limiter.availableTokens(team, now()),
    handlers: {
      'limit.borrow': (params) => {
        checkForPause();
        return limiter.lend(isLending ? params : { ...params, need: 0, extra: 0 }, now());
      },
      'limit.giveBack': (params) => {
        limiter.acceptReturn(params, now());
        return {};
      },
      'limit.offer': async ({ address: leavingHolder, teams }) => {
        await Promise.all(teams.map((team) => takeOffer(leavingHolder, team)));
        return {};
      },
      'limit.confirm': ({ view }) => {
        checkForPause();
        limiter.adoptView(view, limiter.isHolding(), now());
        const epoch = limiter.view()?.epoch ?? 0;
        return { epoch, confirmed: epoch === view.epoch && limiter.canConfirmView(now()) };
      },
      'limit.view': () => ({ view: limiter.view() }),
    },
    close: async () => {
      isClosing = true;
      timers.forEach((timer) => timer.cancel());
      await mailbox.close();
      await returnLoans(0);
      // Lending stops until the others have returned the borrowed tokens that they do not use.
      isLending = false;
      await sleep(RETURN_AGE_MS + RETURN_INTERVAL_MS);
      isLending = true;
      await offerTokens();
      const wasHolding = limiter.isHolding();
      limiter.suspend(now());
      if (!wasHolding) return;
      // All loans must be spent or expired before other holders take over the share.
      await sleep(LOAN_LIFETIME_MS);
      await membership.leave();
    },
  };
};
