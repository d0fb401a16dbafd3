/** Utilization of upstreams, estimated between their reports. */
import type { Load, Member } from '@anvilpaddle/protocol';

/** Estimates the utilization of upstreams between their reports. */
export interface Utilization {
  /** Running and waiting requests per slot; 1 when every slot is taken, more when requests wait. */
  get(member: Member): number;
  started(vm: string): void;
  ended(vm: string): void;
}

interface Estimate {
  /** Last reported load. */
  load: Load | undefined;
  /** This process's own attempts started since the report, minus those ended. */
  netStarted: number;
}

const UNKNOWN_LOAD: Load = { running: 0, waiting: 0, slots: 1 };

/**
 * Estimates utilization by the last report and this process's own attempts since then. Without the
 * latter, a burst would all go to the one upstream that was idle in its report.
 */
export const newUtilization = (): Utilization => {
  const estimates = new Map<string, Estimate>();

  const getEstimate = (vm: string): Estimate => {
    const existing = estimates.get(vm);
    if (existing !== undefined) return existing;
    const estimate: Estimate = { load: undefined, netStarted: 0 };
    estimates.set(vm, estimate);
    return estimate;
  };

  return {
    get: (member) => {
      const estimate = getEstimate(member.vm);
      if (estimate.load !== member.load) {
        estimate.load = member.load;
        estimate.netStarted = 0;
      }
      const { running, waiting, slots } = member.load ?? UNKNOWN_LOAD;
      return Math.max(0, running + waiting + estimate.netStarted) / Math.max(1, slots);
    },
    started: (vm) => {
      getEstimate(vm).netStarted += 1;
    },
    ended: (vm) => {
      getEstimate(vm).netStarted -= 1;
    },
  };
};
