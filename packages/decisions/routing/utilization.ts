import type { Load, Member } from '@anvilpaddle/protocol';

/** Estimate of how full upstreams are, between their own reports. */
export interface Utilization {
  /** Work per slot: 1 means that every slot is taken. */
  get(member: Member): number;
  started(vm: string): void;
  ended(vm: string): void;
}

interface Estimate {
  load: Load | undefined;
  /** Own attempts started less those ended since the report. */
  since: number;
}

const UNKNOWN_LOAD: Load = { running: 0, waiting: 0, slots: 1 };

/**
 * Pressure from the last report and this entry's own attempts since. Without the latter, an entry
 * would send a burst to the one upstream that looked idle in the report.
 */
export const newUtilization = (): Utilization => {
  const estimates = new Map<string, Estimate>();

  const getEstimate = (vm: string): Estimate => {
    const known = estimates.get(vm);
    if (known !== undefined) return known;
    const estimate: Estimate = { load: undefined, since: 0 };
    estimates.set(vm, estimate);
    return estimate;
  };

  return {
    get: (member) => {
      const estimate = getEstimate(member.vm);
      if (estimate.load !== member.load) {
        estimate.load = member.load;
        estimate.since = 0;
      }
      const { running, waiting, slots } = member.load ?? UNKNOWN_LOAD;
      return Math.max(0, running + waiting + estimate.since) / Math.max(1, slots);
    },
    started: (vm) => {
      getEstimate(vm).since += 1;
    },
    ended: (vm) => {
      getEstimate(vm).since -= 1;
    },
  };
};
