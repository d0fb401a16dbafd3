/** Admissions of the teams' rate limits: the limiter, and the list of gateways with which its counts are stored. */
import {
  newSlidingWindowLimiter,
  type GatewayVisibility,
  type SlidingWindowLimiter,
} from '@anvilpaddle/decisions';
import type { Clock, Logger } from '@anvilpaddle/common';
import type { RecordStore } from '@anvilpaddle/platform';
import { newAdmissionWriter } from './admissionWriter';
import { newGatewayList, type Gateway, type GatewayList } from './gatewayList';
import type { GatewayBounds } from './types';

/** What the gateways hear of each other; nothing before the gossip has started. */
interface HeardGateways {
  isRecentlySeen(incarnation: string): boolean;
  getVisibility(): GatewayVisibility;
}

/** Admissions of one gateway. */
export interface TeamAdmissions {
  readonly limiter: SlidingWindowLimiter;
  readonly gatewayList: GatewayList;
  /** The gateways that share the limits, with what is known of the time before they started. */
  getVisibility(heard: HeardGateways): GatewayVisibility;
}

/** Creates the limiter and the list; the list restores the limiter's counts from the store. */
export const newTeamAdmissions = (
  recordStore: RecordStore,
  self: Gateway,
  { limitWindowMs, limitTolerance }: GatewayBounds,
  getHeard: () => HeardGateways | undefined,
  clock: Clock,
  log: Logger,
): TeamAdmissions => {
  const limiter = newSlidingWindowLimiter(limitWindowMs, limitTolerance);
  const listRef: { list?: GatewayList } = {};
  const getSeen = (): string[] => [
    self.incarnation,
    ...(listRef.list?.getOthers() ?? [])
      .map(({ incarnation }) => incarnation)
      .filter((incarnation) => getHeard()?.isRecentlySeen(incarnation) === true),
  ];
  const writer = newAdmissionWriter(
    self.incarnation,
    getSeen,
    () => limiter.getUnstoredTeams(clock.monotonic()),
    clock,
  );
  const gatewayList = newGatewayList(
    recordStore,
    self,
    {
      getAdmissions: () => limiter.getAdmissions(clock.monotonic()),
      getMark: limiter.getMark,
      onStored: limiter.setStored,
      hasUnstored: writer.isDue,
      windowMs: limitWindowMs,
      onRestored: (admissions, ageMs) => limiter.restore(admissions, ageMs, clock.monotonic()),
    },
    clock,
    log,
  );
  listRef.list = gatewayList;

  return {
    limiter,
    gatewayList,
    getVisibility: (heard) => {
      const visibility = heard.getVisibility();
      // After the first read of the list, requests admitted before this process started are known.
      if (!gatewayList.hasBeenRead()) return visibility;
      const hasWitness = visibility.oldestUptimeMs >= limitWindowMs;
      const restarts = hasWitness ? 0 : gatewayList.countRestarts();
      return { ...visibility, oldestUptimeMs: Infinity, restarts };
    },
  };
};
