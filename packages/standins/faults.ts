import { setTimeout as sleep } from 'node:timers/promises';

/** Faults that a stand-in may be told to show, on calls whose path starts with `path`. */
export interface Fault {
  readonly path: string;
  /** Strikes only calls from this IP address; all when missing. */
  readonly from?: string;
  /**
   * `refuse`: answer 503, nothing happens. `drop_before`: cut the connection, nothing happens.
   * `drop_after`: take effect, then cut the connection. `delay`: answer late.
   */
  readonly kind: 'refuse' | 'drop_before' | 'drop_after' | 'delay';
  /** How many calls it strikes; without end when missing. */
  readonly times?: number;
  readonly delayMs?: number;
}

/** Faults that are switched on. */
export interface Faults {
  add(fault: Fault): void;
  clear(): void;
  /** Fault that strikes this call, if any; counts it down. */
  take(path: string, from?: string): Fault | undefined;
}

/** Switchboard of faults for one stand-in. */
export const newFaults = (): Faults => {
  let active: { fault: Fault; left: number }[] = [];
  return {
    add: (fault) => {
      active.push({ fault, left: fault.times ?? Infinity });
    },
    clear: () => {
      active = [];
    },
    take: (path, from) => {
      const hit = active.find(
        ({ fault, left }) =>
          left > 0 &&
          path.startsWith(fault.path) &&
          (fault.from === undefined || fault.from === from),
      );
      if (hit === undefined) return undefined;
      hit.left -= 1;
      return hit.fault;
    },
  };
};

/** Waits for a `delay` fault. */
export const applyDelay = async (fault: Fault | undefined): Promise<void> => {
  if (fault?.kind === 'delay') await sleep(fault.delayMs ?? 0);
};
