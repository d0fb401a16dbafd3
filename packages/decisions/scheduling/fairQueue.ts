import { newTeamQueue, type QueueEntry, type TeamQueue } from './teamQueue';

const MIN_WEIGHT = 0.001;
const RETENTION_MS = 10_000;
const DEBT_RETENTION_MS = 60_000;

/** How a team stands in one queue. */
export interface TeamState {
  readonly waiting: number;
  readonly running: number;
  /** Part of the upstream that is the team's among the teams seen lately. */
  readonly share: number;
}

/**
 * Start-time fair queue over teams. Each team has a virtual time, its service in tokens divided by
 * its weight; the backlogged team with the lowest goes first. The estimate is charged at the start
 * and settled against the real use at the end.
 */
export interface FairQueue {
  add(entry: QueueEntry, place: 'front' | 'back'): void;
  /** Takes the entry whose turn it is and charges its team. */
  take(nowMs: number): QueueEntry | undefined;
  /** Whether an entry waits. */
  has(id: string): boolean;
  /** Takes back an entry that waits. */
  remove(id: string): QueueEntry | undefined;
  /** Corrects the charge of a taken entry to what it has used. */
  settle(entry: QueueEntry, usedTokens: number, nowMs: number): void;
  /** Removes and returns what the predicate selects. */
  removeWhere(isSelected: (entry: QueueEntry) => boolean): QueueEntry[];
  /** Slot-milliseconds of waiting work that goes before a new arrival of the team. */
  getWorkAheadMs(team: string): number;
  getTeamState(team: string): TeamState;
  waiting(): number;
  /** Teams that are remembered. */
  teams(): number;
  /** Forgets teams that have been idle for 10 s and owe nothing, or for 60 s. */
  evictIdleTeams(nowMs: number): void;
}

interface Team {
  readonly line: TeamQueue;
  weight: number;
  virtual: number;
  running: number;
  seenMs: number;
}

/** Empty queue. */
export const newFairQueue = (): FairQueue => {
  const teams = new Map<string, Team>();
  const backlogged = new Map<string, Team>();
  const teamOfEntry = new Map<string, string>();
  let virtualNow = 0;
  let weightSum = 0;

  const newTeam = (): Team => ({
    line: newTeamQueue(),
    weight: 0,
    virtual: virtualNow,
    running: 0,
    seenMs: 0,
  });

  const removeWaiting = (name: string, team: Team, entry: QueueEntry): void => {
    team.line.remove(entry);
    teamOfEntry.delete(entry.work.id);
    if (team.line.size() === 0) backlogged.delete(name);
  };

  const remove = (id: string): QueueEntry | undefined => {
    const name = teamOfEntry.get(id);
    const team = name === undefined ? undefined : teams.get(name);
    const entry = team?.line.get(id);
    if (name === undefined || team === undefined || entry === undefined) return undefined;
    removeWaiting(name, team, entry);
    return entry;
  };

  const getNext = (): readonly [string, Team] | undefined => {
    let next: readonly [string, Team] | undefined;
    for (const candidate of backlogged) {
      if (next === undefined || candidate[1].virtual < next[1].virtual) next = candidate;
    }
    return next;
  };

  return {
    add: (entry, place) => {
      const { work, arrivedMs } = entry;
      const team = teams.get(work.team) ?? newTeam();
      teams.set(work.team, team);
      // Time without work earns no credit.
      if (team.line.size() === 0) team.virtual = Math.max(team.virtual, virtualNow);
      const weight = Math.max(MIN_WEIGHT, work.weight);
      weightSum += weight - team.weight;
      team.weight = weight;
      team.seenMs = arrivedMs;
      team.line.add(entry, place);
      backlogged.set(work.team, team);
      teamOfEntry.set(work.id, work.team);
    },
    take: (nowMs) => {
      const next = getNext();
      if (next === undefined) return undefined;
      const [name, team] = next;
      const entry = team.line.first();
      if (entry === undefined) return undefined;
      removeWaiting(name, team, entry);
      virtualNow = Math.max(virtualNow, team.virtual);
      team.virtual += entry.estimate.tokens / team.weight;
      team.running += 1;
      team.seenMs = nowMs;
      return entry;
    },
    has: (id) => teamOfEntry.has(id),
    remove,
    settle: (entry, usedTokens, nowMs) => {
      const team = teams.get(entry.work.team);
      if (team === undefined) return;
      team.running -= 1;
      team.seenMs = nowMs;
      team.virtual += (usedTokens - entry.estimate.tokens) / team.weight;
    },
    removeWhere: (isSelected) => {
      const selected = [...backlogged.values()].flatMap((team) =>
        team.line.entries().filter(isSelected),
      );
      selected.forEach((entry) => remove(entry.work.id));
      return selected;
    },
    getWorkAheadMs: (name) => {
      const own = teams.get(name);
      const weight = own?.weight ?? 1;
      const start = Math.max(own?.virtual ?? virtualNow, virtualNow);
      const turn = start + (own?.line.tokens() ?? 0) / weight;
      let aheadMs = own?.line.durationMs() ?? 0;
      for (const [other, team] of backlogged) {
        if (other === name) continue;
        const tokensAhead = Math.max(0, (turn - team.virtual) * team.weight);
        aheadMs += team.line.durationMs() * Math.min(1, tokensAhead / team.line.tokens());
      }
      return aheadMs;
    },
    getTeamState: (name) => {
      const team = teams.get(name);
      if (team === undefined) return { waiting: 0, running: 0, share: 1 / (teams.size + 1) };
      const { line, running, weight } = team;
      return { waiting: line.size(), running, share: weight / weightSum };
    },
    waiting: () => teamOfEntry.size,
    teams: () => teams.size,
    evictIdleTeams: (nowMs) => {
      for (const [name, team] of teams) {
        const keepMs = team.virtual <= virtualNow ? RETENTION_MS : DEBT_RETENTION_MS;
        const isIdle = team.line.size() === 0 && team.running === 0;
        if (!isIdle || nowMs - team.seenMs < keepMs) continue;
        weightSum -= team.weight;
        teams.delete(name);
      }
    },
  };
};
