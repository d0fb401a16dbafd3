/** Baseline rate limiters that the limits measurement compares with the product. */
import { getRendezvousOwner } from '@anvilpaddle/common';
import { newTokenBucket, type Admission, type TokenBucket } from '@anvilpaddle/decisions';
import type { MethodResult, MethodParams } from '@anvilpaddle/protocol';
import type { ControllerFactory } from 'anvilpaddle-app/tests/kit/limitFleet';

const RETRY_AFTER_MS = 1000;
const refused: Admission = { admitted: false, retryAfterMs: RETRY_AFTER_MS };
const emptyLoan: MethodResult<'limit.borrow'> = {
  loan: '',
  granted: 0,
  level: 0,
  retryAfterMs: RETRY_AFTER_MS,
  tight: false,
  epoch: 0,
};

type MethodHandlers = ReturnType<ControllerFactory>['handlers'];

const newHandlers = (
  borrow: (
    params: MethodParams<'limit.borrow'>,
  ) => MethodResult<'limit.borrow'> | Promise<MethodResult<'limit.borrow'>>,
): MethodHandlers => ({ 'limit.borrow': borrow }) as unknown as MethodHandlers;

/** Methods of a controller that a baseline has no use for. */
const unusedMethods = { start: () => undefined, close: async () => undefined, tokens: () => 0 };

/** Baseline: each entry admits its equal part of a team's rate and burst, by the entries recently seen. */
export const newStaticSplit: ControllerFactory = ({
  getRateLimit,
  getRecentlySeenEntries,
  clock,
}) => {
  const buckets = new Map<string, TokenBucket>();
  return {
    ...unusedMethods,
    handlers: newHandlers(() => emptyLoan),
    admit: async (team) => {
      const nowMs = clock.monotonic();
      const entries = getRecentlySeenEntries().length + 1;
      const { rate, burst } = getRateLimit(team);
      const share = { rate: rate / entries, burst: burst / entries };
      const bucket = buckets.get(team) ?? newTokenBucket(share, nowMs);
      buckets.set(team, bucket);
      bucket.setRateLimit(share, nowMs);
      return bucket.take(1, nowMs);
    },
  };
};

const LEASE_DURATION_MS = 3000;
const RENEWAL_INTERVAL_MS = 1000;
const LEASE_TABLE = 'limit_homes';

interface LeaseRow {
  readonly owner: string;
  readonly untilMs: number;
}

/**
 * Baseline: one entry per team owns the team's bucket under a lease row and decides each request. A
 * new owner starts from an empty bucket.
 */
export const newLeasedOwner: ControllerFactory = (dependencies) => {
  const { address, incarnation, tables, peers, clock, getRateLimit } = dependencies;
  const owned = new Map<string, { untilMs: number; bucket: TokenBucket }>();
  const claims = new Map<string, Promise<void>>();

  /**
   * Takes or renews the lease. Its end counts from before the read and the write, so that it ends here
   * no later than in the row.
   */
  const claim = async (team: string): Promise<void> => {
    const requestedMs = clock.monotonic();
    const row = await tables.get(LEASE_TABLE, team);
    if (!row.ok) return;
    const lease = row.value?.value as LeaseRow | undefined;
    if (lease !== undefined && lease.owner !== incarnation && lease.untilMs > clock.wall()) return;
    const committed = await tables.transact({
      checks: [{ table: LEASE_TABLE, key: team, revision: row.value?.revision ?? 0 }],
      writes: [
        {
          table: LEASE_TABLE,
          key: team,
          value: { owner: incarnation, untilMs: clock.wall() + LEASE_DURATION_MS },
        },
      ],
    });
    if (!committed.ok || !committed.value.committed) return;
    const ownedBucket = owned.get(team);
    const bucket = ownedBucket?.bucket ?? newTokenBucket(getRateLimit(team), clock.monotonic(), 0);
    owned.set(team, { bucket, untilMs: requestedMs + LEASE_DURATION_MS });
  };

  const claimOnce = (team: string): Promise<void> => {
    const pendingClaim = claims.get(team) ?? claim(team).finally(() => claims.delete(team));
    claims.set(team, pendingClaim);
    return pendingClaim;
  };

  const take = async (team: string): Promise<Admission> => {
    const isOwner = (): boolean => (owned.get(team)?.untilMs ?? 0) > clock.monotonic();
    if (!isOwner()) {
      owned.delete(team);
      await claimOnce(team);
    }
    return (isOwner() ? owned.get(team)?.bucket.take(1, clock.monotonic()) : undefined) ?? refused;
  };

  return {
    ...unusedMethods,
    start: () => {
      clock.every(RENEWAL_INTERVAL_MS, () =>
        owned.forEach((_bucket, team) => {
          void claimOnce(team);
        }),
      );
    },
    handlers: newHandlers(async ({ team }) => {
      const admission = await take(team);
      return { ...emptyLoan, granted: admission.admitted ? 1 : 0 };
    }),
    admit: async (team) => {
      const owner =
        getRendezvousOwner(team, [address, ...dependencies.getRecentlySeenEntries()]) ?? address;
      if (owner === address) return take(team);
      const params = { team, need: 1, extra: 0, closed: [] };
      const response = await peers.call(owner, 'limit.borrow', params);
      return response.ok && response.value.granted === 1 ? { admitted: true } : refused;
    },
  };
};

const BUCKET_TABLE = 'limit_buckets';
const MAX_ATTEMPTS = 10;

interface BucketRow {
  readonly level: number;
  readonly atMs: number;
}

/** Baseline: each team's bucket is a row of the table service, read and written for each request. */
export const newStoredBucket: ControllerFactory = ({ tables, clock, getRateLimit }) => {
  const takeOnce = async (team: string): Promise<Admission | undefined> => {
    const row = await tables.get(BUCKET_TABLE, team);
    if (!row.ok) return refused;
    const { rate, burst } = getRateLimit(team);
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
    ...unusedMethods,
    handlers: newHandlers(() => emptyLoan),
    admit: async (team) => {
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const admission = await takeOnce(team);
        if (admission !== undefined) return admission;
      }
      return refused;
    },
  };
};
