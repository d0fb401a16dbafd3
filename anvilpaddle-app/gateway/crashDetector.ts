/**
 * Tells crashes of upstreams from lost responses. A response that is lost may have many causes; only
 * if nothing listens at the upstream's address right after it has its process ended.
 */
import type { Clock, Logger } from '@anvilpaddle/common';
import type { LostInput } from '@anvilpaddle/decisions';
import { PROBE_RESULT, type ProbeResult } from './connectProbe';
import type { Upstream } from './types';

/** Delay of the probe: the sockets of a process that ends don't close at the same instant. */
const PROBE_DELAY_MS = 20;
/** Time for which a refused connection of another request can still confirm a crash. */
const CONFIRMATION_PERIOD_MS = 2000;

/** Attempt or run that was lost, and what it had brought. */
export interface LostAttempt extends LostInput {
  /** Id of the request or the item. */
  readonly id: string;
}

/** End of an upstream's process that nobody announced. */
export interface UpstreamCrash {
  readonly upstream: Upstream;
  readonly lostAttempts: readonly LostAttempt[];
}

/** Detector of crashes. */
export interface CrashDetector {
  /** Reports an attempt that the upstream broke off, and whose input may be the cause. */
  reportLost(upstream: Upstream, attempt: LostAttempt): void;
  /** Reports that the upstream's address has refused a connection. */
  reportRefused(upstream: Upstream): void;
}

/** How a detector reaches upstreams and its gateway. */
export interface CrashDetectorHooks {
  readonly probe: (upstream: Upstream) => Promise<ProbeResult>;
  /** Whether the upstream has announced its end. */
  readonly isLeaving: (upstream: Upstream) => boolean;
  /** Called for the lost attempts of a crash; again for those that are reported later. */
  readonly onCrash: (crash: UpstreamCrash) => void;
}

/** Creates a detector without lost attempts. */
export const newCrashDetector = (
  { probe, isLeaving, onCrash }: CrashDetectorHooks,
  clock: Clock,
  log: Logger,
): CrashDetector => {
  /** Lost attempts by the incarnation of their upstream. */
  const lostByIncarnation = new Map<string, LostAttempt[]>();
  const crashed = new Set<string>();
  const probing = new Set<string>();

  const announce = (upstream: Upstream, lostAttempts: readonly LostAttempt[]): void => {
    if (lostAttempts.length === 0) return;
    log.warn({ upstream: upstream.id, lost: lostAttempts }, 'upstream crashed');
    onCrash({ upstream, lostAttempts });
  };

  const reportRefused = (upstream: Upstream): void => {
    const { incarnation } = upstream;
    const lostAttempts = lostByIncarnation.get(incarnation);
    // An upstream that leaves ends as announced, even if it ends early.
    if (lostAttempts === undefined || isLeaving(upstream)) return;
    crashed.add(incarnation);
    announce(upstream, lostAttempts.splice(0));
  };

  const startProbe = (upstream: Upstream): void => {
    const { incarnation } = upstream;
    if (probing.has(incarnation)) return;
    probing.add(incarnation);
    clock.after(PROBE_DELAY_MS, () => {
      probe(upstream).then(
        (result) => {
          probing.delete(incarnation);
          if (result === PROBE_RESULT.refused) reportRefused(upstream);
        },
        () => probing.delete(incarnation),
      );
    });
  };

  const getLostAttempts = (incarnation: string): LostAttempt[] => {
    const known = lostByIncarnation.get(incarnation);
    if (known !== undefined) return known;
    const lostAttempts: LostAttempt[] = [];
    lostByIncarnation.set(incarnation, lostAttempts);
    clock.after(CONFIRMATION_PERIOD_MS, () => {
      lostByIncarnation.delete(incarnation);
      crashed.delete(incarnation);
    });
    return lostAttempts;
  };

  return {
    reportLost: (upstream, attempt) => {
      if (crashed.has(upstream.incarnation)) {
        announce(upstream, [attempt]);
        return;
      }
      getLostAttempts(upstream.incarnation).push(attempt);
      startProbe(upstream);
    },
    reportRefused,
  };
};
