import { getRendezvousOwner } from '@anvilpaddle/common';
import { newTokenBucket, type Admission, type TokenBucket } from '@anvilpaddle/decisions';
import type { MethodResult, MethodParams } from '@anvilpaddle/protocol';
import type { ControllerFactory } from 'anvilpaddle-app/tests/kit/limitFleet';

const RETRY_MS = 1000;
const refused: Admission = { admitted: false, retryAfterMs: RETRY_MS };
const nothingLent: MethodResult<'limit.borrow'> = {
  loan: '',
  granted: 0,
  level: 0,
  retryAfterMs: RETRY_MS,
  tight: false,
  epoch: 0,
};

type Handlers = ReturnType<ControllerFactory>['handlers'];

const newHandlers = (
  borrow: (
    params: MethodParams<'limit.borrow'>,
  ) => MethodResult<'limit.borrow'> | Promise<MethodResult<'limit.borrow'>>,
): Handlers => ({ 'limit.borrow': borrow }) as unknown as Handlers;

const unused = { start: () => undefined, close: async () => undefined, tokens: () => 0 };

/** Naive version: rate and burst divided by the entries that are heard of. */
export const newStaticSplit: ControllerFactory = ({ getRate, liveEntries, clock }) => {
  const buckets = new Map<string, TokenBucket>();
  return {
    ...unused,
    handlers: newHandlers(() => nothingLent),
    admit: async (team) => {
      const nowMs = clock.monotonic();
      const entries = liveEntries().length + 1;
      const { rate, burst } = getRate(team);
      const share = { rate: rate / entries, burst: burst / entries };
      const bucket = buckets.get(team) ?? newTokenBucket(share, nowMs);
      buckets.set(team, bucket);
      bucket.setRateLimit(share, nowMs);
      return bucket.take(1, nowMs);
    },
  };
};

const LEASE_MS = 3000;
const RENEW_MS = 1000;
const LEASE_TABLE = 'limit_homes';

interface LeaseRow {
  readonly owner: string;
  readonly untilMs: number;
}

/** One home for each team under a lease row; it starts from an empty bucket and is asked each time. */
export const newLeasedOwner: ControllerFactory = (parts) => {
  const { address, lifeId, tables, peers, clock, getRate } = parts;
  const homes = new Map<string, { untilMs: number; bucket: TokenBucket }>();
  const claims = new Map<string, Promise<void>>();

  /** Takes or renews the lease; the end is counted from before the write. */
  const claim = async (team: string): Promise<void> => {
    const askedMs = clock.monotonic();
    const row = await tables.get(LEASE_TABLE, team);
    if (!row.ok) return;
    const lease = row.value?.value as LeaseRow | undefined;
    if (lease !== undefined && lease.owner !== lifeId && lease.untilMs > clock.wall()) return;
    const committed = await tables.transact({
      checks: [{ table: LEASE_TABLE, key: team, revision: row.value?.revision ?? 0 }],
      writes: [
        {
          table: LEASE_TABLE,
          key: team,
          value: { owner: lifeId, untilMs: clock.wall() + LEASE_MS },
        },
      ],
    });
    if (!committed.ok || !committed.value.committed) return;
    const known = homes.get(team);
    const bucket = known?.bucket ?? newTokenBucket(getRate(team), clock.monotonic(), 0);
    homes.set(team, { bucket, untilMs: askedMs + LEASE_MS });
  };

  const claimOnce = (team: string): Promise<void> => {
    const running = claims.get(team) ?? claim(team).finally(() => claims.delete(team));
    claims.set(team, running);
    return running;
  };

  const take = async (team: string): Promise<Admission> => {
    const isHome = (): boolean => (homes.get(team)?.untilMs ?? 0) > clock.monotonic();
    if (!isHome()) {
      homes.delete(team);
      await claimOnce(team);
    }
    return (isHome() ? homes.get(team)?.bucket.take(1, clock.monotonic()) : undefined) ?? refused;
  };

  return {
    ...unused,
    start: () => {
      clock.every(RENEW_MS, () =>
        homes.forEach((_home, team) => {
          void claimOnce(team);
        }),
      );
    },
    handlers: newHandlers(async ({ team }) => {
      const admission = await take(team);
      return { ...nothingLent, granted: admission.admitted ? 1 : 0 };
    }),
    admit: async (team) => {
      const home = getRendezvousOwner(team, [address, ...parts.liveEntries()]) ?? address;
      if (home === address) return take(team);
      const params = { team, need: 1, extra: 0, closed: [] };
      const answer = await peers.call(home, 'limit.borrow', params);
      return answer.ok && answer.value.granted === 1 ? { admitted: true } : refused;
    },
  };
};

const BUCKET_TABLE = 'limit_buckets';
const MAX_RACES = 10;

interface BucketRow {
  readonly level: number;
  readonly atMs: number;
}

/** The bucket of each team is a row of the table service, read and written for each request. */
export const newStoredBucket: ControllerFactory = ({ tables, clock, getRate }) => {
  const tryTake = async (team: string): Promise<Admission | undefined> => {
    const row = await tables.get(BUCKET_TABLE, team);
    if (!row.ok) return refused;
    const { rate, burst } = getRate(team);
    const stored = (row.value?.value as BucketRow | undefined) ?? { level: 0, atMs: clock.wall() };
    const atMs = Math.max(stored.atMs, clock.wall());
    const level = Math.min(burst, stored.level + ((atMs - stored.atMs) * rate) / 1000);
    if (level < 1 && row.value !== undefined) return refused;
    const committed = await tables.transact({
      checks: [{ table: BUCKET_TABLE, key: team, revision: row.value?.revision ?? 0 }],
      writes: [{ table: BUCKET_TABLE, key: team, value: { level: Math.max(0, level - 1), atMs } }],
    });
    if (!committed.ok) return refused;
    if (!committed.value.committed) return undefined;
    return level < 1 ? refused : { admitted: true };
  };

  return {
    ...unused,
    handlers: newHandlers(() => nothingLent),
    admit: async (team) => {
      for (let race = 0; race < MAX_RACES; race += 1) {
        const admission = await tryTake(team);
        if (admission !== undefined) return admission;
      }
      return refused;
    },
  };
};
