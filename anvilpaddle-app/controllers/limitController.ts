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

/** Handlers of the messages about limits. */
export interface LimitHandlers {
  'limit.borrow'(params: MethodParams<'limit.borrow'>): MethodResult<'limit.borrow'>;
  'limit.giveBack'(params: MethodParams<'limit.giveBack'>): MethodResult<'limit.giveBack'>;
  'limit.offer'(params: MethodParams<'limit.offer'>): Promise<MethodResult<'limit.offer'>>;
  'limit.confirm'(params: MethodParams<'limit.confirm'>): MethodResult<'limit.confirm'>;
  'limit.view'(): MethodResult<'limit.view'>;
}

/** What operators see of the limits at one entry. */
export interface LimitStatus {
  readonly view: LimitView | undefined;
  readonly holding: boolean;
  readonly teams: number;
}

/** Decides whether a team's request is within its rate and burst over the fleet. */
export interface LimitController {
  /** Begins to hold tokens; call it once the port for messages between processes is bound. */
  start(): void;
  admit(team: string): Promise<Admission>;
  status(): LimitStatus;
  /** Tokens of a team that this entry has at hand, its own and borrowed. */
  tokens(team: string): number;
  readonly handlers: LimitHandlers;
  /** Hands the tokens to other holders and leaves the view. */
  close(): Promise<void>;
}

/** What the controller works with. */
export interface LimitControllerDependencies extends LimitMembershipDependencies {
  /** Unique to this process. */
  readonly incarnation: string;
  readonly getRateLimit: (team: string) => RateLimit;
  /** Time between two looks at the view while it is not settled. */
  readonly tickIntervalMs: number;
  readonly log: Logger;
}

const ASK_TIMEOUT_MS = 50;
const RETURN_INTERVAL_MS = BORROWED_TOKEN_LIFETIME_MS / 4;
const RETURN_AGE_MS = BORROWED_TOKEN_LIFETIME_MS / 2;
/** Ticks between two looks at the view once it is settled. */
const SETTLED_TICKS = 4;
/** Pause after which this entry may have been taken for gone. */
const PAUSE_LIMIT_MS = 5000;
/** Time from the first view in which a request waits rather than being refused. */
const START_GRACE_MS = 1000;
const START_POLL_MS = 50;
const STOPPING_RETRY_MS = 1000;

/** Controller that holds a share of each team's tokens and borrows from the other holders. */
export const newLimitController = (parts: LimitControllerDependencies): LimitController => {
  const { address, peers, clock, log } = parts;
  const node = newDistributedLimiter(address, parts.incarnation, parts.getRateLimit);
  const membership = newLimitMembership(node, parts);
  const waiting = new Map<string, number>();
  const asks = new Map<string, Promise<void>>();
  let graceEndMs: number | undefined;
  let lastBeatMs: number | undefined;
  let ticks = 0;
  let isClosing = false;
  let isLending = true;

  const now = (): number => clock.monotonic();

  /** After a long pause others may hold what was held here: the view has to be read first. */
  const noticePause = (): void => {
    if (lastBeatMs === undefined || now() - lastBeatMs <= PAUSE_LIMIT_MS) return;
    node.suspend(now());
    lastBeatMs = now();
  };

  const mailbox = newMailbox<'refresh'>(
    async () => {
      await membership.refresh();
      if (graceEndMs === undefined && node.view() !== undefined) {
        graceEndMs = now() + START_GRACE_MS;
      }
    },
    (fault) => log.error({ err: fault }, 'limit controller failed'),
  );
  const refresh = (): void => {
    if (mailbox.size() === 0) mailbox.post('refresh');
  };

  const sleep = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(delayMs, resolve);
    });

  const borrow = async (team: string, holder: string): Promise<void> => {
    const askedMs = now();
    const params = node.newBorrow(team, holder, waiting.get(team) ?? 1, askedMs);
    const answer = await peers.call(holder, 'limit.borrow', params);
    noticePause();
    if (!answer.ok) {
      node.recordNoAnswer(holder, now());
      return;
    }
    node.creditLoan(team, holder, answer.value, askedMs, now());
    if (answer.value.epoch > (node.view()?.epoch ?? 0)) refresh();
  };

  /** Requests of one team wait for one message to a holder together, and not for long. */
  const ask = async (team: string, holder: string): Promise<void> => {
    const key = `${team}\n${holder}`;
    const known = asks.get(key);
    if (known !== undefined) {
      await known;
      return;
    }
    const asked = new Promise<void>((resolve) => {
      const timer = clock.after(ASK_TIMEOUT_MS, () => {
        node.recordNoAnswer(holder, now());
        resolve();
      });
      void borrow(team, holder).finally(() => {
        timer.cancel();
        resolve();
      });
    });
    asks.set(key, asked);
    await asked;
    asks.delete(key);
  };

  const decide = async (team: string): Promise<Admission> => {
    const tried = new Set<string>();
    for (;;) {
      noticePause();
      const step = node.decide(team, tried, now());
      if (step.kind === 'decided') return step.admission;
      const isShared = asks.has(`${team}\n${step.holder}`);
      await ask(team, step.holder);
      if (!isShared) tried.add(step.holder);
    }
  };

  /** A process that has just started has not yet what is its own. */
  const isStarting = (arrivedMs: number): boolean =>
    graceEndMs === undefined ? now() < arrivedMs + START_GRACE_MS : now() < graceEndMs;

  const admit = async (team: string): Promise<Admission> => {
    if (isClosing) return { admitted: false, retryAfterMs: STOPPING_RETRY_MS };
    const arrivedMs = now();
    node.recordArrival(team, arrivedMs);
    waiting.set(team, (waiting.get(team) ?? 0) + 1);
    try {
      let admission = await decide(team);
      while (!admission.admitted && isStarting(arrivedMs)) {
        await sleep(START_POLL_MS);
        admission = await decide(team);
      }
      const richer = node.prefetchHolder(team, now());
      if (richer !== undefined) void ask(team, richer);
      return admission;
    } finally {
      const left = (waiting.get(team) ?? 1) - 1;
      if (left > 0) waiting.set(team, left);
      else waiting.delete(team);
    }
  };

  const giveBack = async (ageMs: number): Promise<void> => {
    await Promise.all(
      node
        .takeDueReturns(ageMs, now())
        .map((back) => peers.call(back.holder, 'limit.giveBack', back.giveBack)),
    );
  };

  const beat = (): void => {
    noticePause();
    lastBeatMs = now();
    ticks += 1;
    node.removeIdleTeams(now());
    if (!membership.isSettled() || ticks % SETTLED_TICKS === 0) refresh();
  };

  const timers: ReturnType<Clock['every']>[] = [];

  /** Offers what is held to the holders of one rank; each takes what its own share has room for. */
  const offerToRank = async (rank: number): Promise<boolean> => {
    const offers = new Map<string, string[]>();
    node.heldTeams(now()).forEach((team) => {
      const holder = node.otherHolders(team)[rank];
      if (holder !== undefined) offers.set(holder, [...(offers.get(holder) ?? []), team]);
    });
    await Promise.all(
      [...offers].map(([holder, teams]) => peers.call(holder, 'limit.offer', { address, teams })),
    );
    return offers.size > 0;
  };

  const offerTokens = async (): Promise<void> => {
    for (let rank = 0; await offerToRank(rank); rank += 1);
  };

  const takeOffer = async (leaving: string, team: string): Promise<void> => {
    const need = node.freeCapacity(team, now());
    if (need <= 0) return;
    const askedMs = now();
    const answer = await peers.call(leaving, 'limit.borrow', { team, need, extra: 0, closed: [] });
    if (answer.ok) node.depositLoan(team, answer.value, askedMs, now());
  };

  return {
    start: () => {
      timers.push(clock.every(parts.tickIntervalMs, beat));
      timers.push(
        clock.every(RETURN_INTERVAL_MS, () => {
          void giveBack(RETURN_AGE_MS);
        }),
      );
      beat();
    },
    admit,
    status: () => ({ view: node.view(), holding: node.isHolding(), teams: node.teamCount() }),
    tokens: (team) => node.availableTokens(team, now()),
    handlers: {
      'limit.borrow': (params) => {
        noticePause();
        return node.lend(isLending ? params : { ...params, need: 0, extra: 0 }, now());
      },
      'limit.giveBack': (params) => {
        node.acceptReturn(params, now());
        return {};
      },
      'limit.offer': async ({ address: leaving, teams }) => {
        await Promise.all(teams.map((team) => takeOffer(leaving, team)));
        return {};
      },
      'limit.confirm': ({ view }) => {
        noticePause();
        node.adoptView(view, node.isHolding(), now());
        const epoch = node.view()?.epoch ?? 0;
        return { epoch, confirmed: epoch === view.epoch && node.canConfirmView(now()) };
      },
      'limit.view': () => ({ view: node.view() }),
    },
    close: async () => {
      isClosing = true;
      timers.forEach((timer) => timer.cancel());
      await mailbox.close();
      await giveBack(0);
      // What others have borrowed and do not use comes back first.
      isLending = false;
      await sleep(RETURN_AGE_MS + RETURN_INTERVAL_MS);
      isLending = true;
      await offerTokens();
      const wasHolding = node.isHolding();
      node.suspend(now());
      if (!wasHolding) return;
      // What was lent is surely spent or over before others take the share.
      await sleep(LOAN_LIFETIME_MS);
      await membership.leave();
    },
  };
};
