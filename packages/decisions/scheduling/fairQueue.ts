/** Weighted fair queue over teams. */
import { newTeamQueue, type QueueEntry, type TeamQueue } from './teamQueue';

/** Lower bound of a team's weight, by which its charges are divided. */
const MIN_WEIGHT = 0.001;
/** Idle time after which a team that is not ahead of the queue's virtual time is evicted. */
const IDLE_TEAM_RETENTION_MS = 10_000;
/** Idle time after which a team is evicted even if it was served more than its share. */
const INDEBTED_TEAM_RETENTION_MS = 60_000;

/** State of a team in one queue. */
export interface TeamState {
  readonly waiting: number;
  readonly running: number;
  /** Fraction of the upstream due to the team, by its weight among the teams not yet evicted. */
  readonly share: number;
}

/**
 * Start-time fair queue over teams. Each team has a virtual time: the tokens it was served, divided
 * by its weight. The backlogged team with the lowest virtual time goes first. A team is charged the
 * estimated tokens of its work at the start; the charge is corrected to the actual use at the end.
 */
export interface FairQueue {
  /** Adds an entry at an end of its team's queue. */
  add(entry: QueueEntry, place: 'front' | 'back'): void;
  /** Removes the entry that goes next, charges its team and counts the entry as running. */
  take(nowMs: number): QueueEntry | undefined;
  /** Whether an entry is waiting. */
  has(id: string): boolean;
  /** Removes an entry that is waiting, without a charge. */
  remove(id: string): QueueEntry | undefined;
  /** Ends a taken entry: corrects its charge to the tokens that it has used. */
  settle(entry: QueueEntry, usedTokens: number, nowMs: number): void;
  /** Removes and returns the waiting entries that match the predicate. */
  removeWhere(isSelected: (entry: QueueEntry) => boolean): QueueEntry[];
  /** Slot-milliseconds of waiting work that go before a new arrival of the team. */
  getWorkAheadMs(team: string): number;
  /** State of a team; an unknown team gets the share that it would have by equal weights. */
  getTeamState(team: string): TeamState;
  /** Number of waiting entries. */
  waiting(): number;
  /** Number of teams that have not been evicted. */
  teams(): number;
  /**
   * Removes the state of teams that have been idle for 10 s, or for 60 s if they were served more
   * than their share.
   */
  evictIdleTeams(nowMs: number): void;
}

/** Scheduling state of a team. */
interface Team {
  readonly queue: TeamQueue;
  weight: number;
  virtualTime: number;
  running: number;
  lastActiveMs: number;
}

/** Creates an empty queue. */
export const newFairQueue = (): FairQueue => {
  const teams = new Map<string, Team>();
  const backlogged = new Map<string, Team>();
  const teamOfEntry = new Map<string, string>();
  let queueVirtualTime = 0;
  let weightSum = 0;

  const newTeam = (): Team => ({
    queue: newTeamQueue(),
    weight: 0,
    virtualTime: queueVirtualTime,
    running: 0,
    lastActiveMs: 0,
  });

  const removeWaiting = (name: string, team: Team, entry: QueueEntry): void => {
    team.queue.remove(entry);
    teamOfEntry.delete(entry.work.id);
    if (team.queue.size() === 0) backlogged.delete(name);
  };

  const remove = (id: string): QueueEntry | undefined => {
    const name = teamOfEntry.get(id);
    const team = name === undefined ? undefined : teams.get(name);
    const entry = team?.queue.get(id);
    if (name === undefined || team === undefined || entry === undefined) return undefined;
    removeWaiting(name, team, entry);
    return entry;
  };

  const getNext = (): readonly [string, Team] | undefined => {
    let next: readonly [string, Team] | undefined;
    for (const candidate of backlogged) {
      if (next === undefined || candidate[1].virtualTime < next[1].virtualTime) next = candidate;
    }
    return next;
  };

  return {
    add: (entry, place) => {
      const { work, arrivedMs } = entry;
      const team = teams.get(work.team) ?? newTeam();
      teams.set(work.team, team);
      // An idle team resumes at the queue's virtual time, so that idle time earns no credit.
      if (team.queue.size() === 0) team.virtualTime = Math.max(team.virtualTime, queueVirtualTime);
      const weight = Math.max(MIN_WEIGHT, work.weight);
      weightSum += weight - team.weight;
      team.weight = weight;
      team.lastActiveMs = arrivedMs;
      team.queue.add(entry, place);
      backlogged.set(work.team, team);
      teamOfEntry.set(work.id, work.team);
    },
    take: (nowMs) => {
      const next = getNext();
      if (next === undefined) return undefined;
      const [name, team] = next;
      const entry = team.queue.first();
      if (entry === undefined) return undefined;
      removeWaiting(name, team, entry);
      queueVirtualTime = Math.max(queueVirtualTime, team.virtualTime);
      team.virtualTime += entry.estimate.tokens / team.weight;
      team.running += 1;
      team.lastActiveMs = nowMs;
      return entry;
    },
    has: (id) => teamOfEntry.has(id),
    remove,
    settle: (entry, usedTokens, nowMs) => {
      const team = teams.get(entry.work.team);
      if (team === undefined) return;
      team.running -= 1;
      team.lastActiveMs = nowMs;
      team.virtualTime += (usedTokens - entry.estimate.tokens) / team.weight;
    },
    removeWhere: (isSelected) => {
      const selected = [...backlogged.values()].flatMap((team) =>
        team.queue.entries().filter(isSelected),
      );
      selected.forEach((entry) => remove(entry.work.id));
      return selected;
    },
    getWorkAheadMs: (name) => {
      const own = teams.get(name);
      const weight = own?.weight ?? 1;
      const start = Math.max(own?.virtualTime ?? queueVirtualTime, queueVirtualTime);
      const arrivalVirtualTime = start + (own?.queue.tokens() ?? 0) / weight;
      let aheadMs = own?.queue.durationMs() ?? 0;
      for (const [other, team] of backlogged) {
        if (other === name) continue;
        const tokensAhead = Math.max(0, (arrivalVirtualTime - team.virtualTime) * team.weight);
        aheadMs += team.queue.durationMs() * Math.min(1, tokensAhead / team.queue.tokens());
      }
      return aheadMs;
    },
    getTeamState: (name) => {
      const team = teams.get(name);
      if (team === undefined) return { waiting: 0, running: 0, share: 1 / (teams.size + 1) };
      const { queue, running, weight } = team;
      return { waiting: queue.size(), running, share: weight / weightSum };
    },
    waiting: () => teamOfEntry.size,
    teams: () => teams.size,
    evictIdleTeams: (nowMs) => {
      for (const [name, team] of teams) {
        const retentionMs =
          team.virtualTime <= queueVirtualTime
            ? IDLE_TEAM_RETENTION_MS
            : INDEBTED_TEAM_RETENTION_MS;
        const isIdle = team.queue.size() === 0 && team.running === 0;
        if (!isIdle || nowMs - team.lastActiveMs < retentionMs) continue;
        weightSum -= team.weight;
        teams.delete(name);
      }
    },
  };
};
