/** Load, state and result of a replay of batch items. */
import type { RunPace } from '../../batch/runPace';
import type { GatewayItems } from '../../batch/itemTracker';
import type { Loads } from '../loadTracker';

/** Load and fleet of a replay. */
export interface ReplayLoad {
  readonly gateways: number;
  readonly upstreams: number;
  /** Mean online load, as a fraction of all slots. */
  readonly onlineFraction: number;
  /** The online load alternates between two multiples of its mean. */
  readonly wave: {
    readonly lowMs: number;
    readonly highMs: number;
    readonly low: number;
    readonly high: number;
  };
  readonly itemsPerSecond: number;
  /** Mean number of events of an item. */
  readonly eventsPerItem: number;
  /** Part of the upstreams that are lost for a while. */
  /** Whether the runs of an item are all slow or none of them is. */
  readonly isSlownessOfItem?: boolean;
  /** Number of gateways of the earlier version, which rank items by due time. */
  readonly earlierGateways?: number;
  readonly outage?: { readonly fromMs: number; readonly toMs: number; readonly fraction: number };
}

/** Result of a replay. */
export interface ReplayResult {
  readonly items: number;
  readonly late: number;
  readonly done: number;
  /** Runs that yielded to online requests. */
  readonly cutRuns: number;
  /** Of these, runs that had given no event. */
  readonly earlyCuts: number;
  /** Runs that were lost with their upstream. */
  readonly lostRuns: number;
  /** Slow runs that were ended for a new run. */
  readonly movedRuns: number;
  /** Fraction of the slot time outside of load rises that is idle while items wait. */
  readonly idleFraction: number;
  /** Online requests refused, and waits of the others for a slot. */
  readonly refused: number;
  readonly meanWaitMs: number;
  readonly p99WaitMs: number;
}

/** An item of a job. */
export interface Item {
  readonly gateway: number;
  readonly dueMs: number;
  readonly totalEvents: number;
  /** Whether its runs are slow, where that depends on the item. */
  readonly isSlow: boolean;
  events: number;
  notBeforeMs: number;
  hasMoved: boolean;
  isAfterSlowRun: boolean;
  work: Work | undefined;
}

/** A request or a run of an item at an upstream. */
export interface Work {
  readonly gateway: number;
  readonly upstream: number;
  readonly item: Item | undefined;
  readonly sentMs: number;
  /** Time until the next event, or for an online request until its end. */
  leftMs: number;
  readonly eventMs: number;
  readonly eventsAtStart: number;
  readonly pace: RunPace;
}

/** State that a gateway reports to a peer. */
export interface Report {
  readonly from: number;
  readonly to: number;
  readonly sentMs: number;
  readonly loads: Loads;
  readonly items: GatewayItems;
}
