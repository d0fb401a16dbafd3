/** Guards upstreams against input that crashes them: tells crashes, and keeps their causes out. */
import { getHash, type Clock, type Logger } from '@anvilpaddle/common';
import { DIGEST_MARK, type QuarantineChange } from '@anvilpaddle/decisions';
import type { RecordStore } from '@anvilpaddle/platform';
import { probeConnection } from './connectProbe';
import { newCrashDetector, type CrashDetector, type UpstreamCrash } from './crashDetector';
import { newStoredQuarantine, type StoredQuarantine } from './storedQuarantine';
import { newSuspectCheckpoint } from './suspectCheckpoint';
import type { Upstream } from './types';

/** Connections of the guard to its gateway. */
export interface InputGuardHooks {
  /** Whether the upstream has announced its end. */
  readonly isLeaving: (upstream: Upstream) => boolean;
  /** Called for each crash, for the metrics. */
  readonly onCrash: () => void;
  /** Called when the peers should soon hear what has changed. */
  readonly onNews: () => void;
}

/** Parts of the guard. */
export interface InputGuard {
  readonly quarantine: StoredQuarantine;
  readonly crashDetector: CrashDetector;
}

const RADIX = 36;

/** Short name of an upstream's run, the same at all gateways. */
const getUpstreamKey = ({ incarnation }: Upstream): string => getHash(incarnation).toString(RADIX);

/** Creates a guard, which reads what the store has quarantined. */
export const newInputGuard = (
  store: RecordStore,
  self: { readonly vm: string; readonly incarnation: string },
  { isLeaving, onCrash, onNews }: InputGuardHooks,
  clock: Clock,
  log: Logger,
): InputGuard => {
  const onChange = ({ report, soundRates }: QuarantineChange): void => {
    const subject = report.part.startsWith(DIGEST_MARK) ? 'request' : 'part';
    const change = `${subject} ${report.isQuarantined ? 'quarantined' : 'released'}`;
    log.warn({ ...report, soundRates }, change);
    onNews();
  };
  const quarantine = newStoredQuarantine(store, onChange, clock, log);
  const checkpoint = newSuspectCheckpoint(store, self, quarantine, clock, log);

  const recordCrash = ({ upstream, lostAttempts }: UpstreamCrash): void => {
    onCrash();
    quarantine.recordCrash(getUpstreamKey(upstream), lostAttempts, clock.monotonic());
    checkpoint.scheduleWrite();
    onNews();
  };
  const crashDetector = newCrashDetector(
    { probe: ({ address }) => probeConnection(address, clock), isLeaving, onCrash: recordCrash },
    clock,
    log,
  );
  return { quarantine, crashDetector };
};
