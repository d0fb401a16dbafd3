/** Slots that the online requests of each team hold, over all gateways. */
import { SERVICE_CLASS } from '@anvilpaddle/common';
import { newLoadTracker } from '../placement/loadTracker';

/** Requests of one team for one service with one priority, which share one count. */
export interface SlotHolder {
  readonly service: string;
  readonly team: string;
  /** Priority of the requests; 0 is the most urgent. */
  readonly priority: number;
}

/** Number of slots, or places in an upstream's queue, that a holder's requests have. */
export interface HeldSlots extends SlotHolder {
  readonly slots: number;
}

/**
 * Counts the running online requests by team: this gateway's own exactly, those of its peers by their
 * latest reports. Times are monotonic milliseconds.
 */
export interface TeamSlots {
  /** Counts a request that this gateway sends to an upstream. */
  begin(holder: SlotHolder): void;
  /** Ends the count of a request that this gateway sent to an upstream. */
  end(holder: SlotHolder): void;
  /** Slots held by this gateway's requests, as reported to its peers. */
  getOwn(): readonly HeldSlots[];
  /** Replaces the slots of a peer by those that it has just reported; none if it names none. */
  updatePeer(peer: string, held: readonly HeldSlots[], nowMs: number): void;
  /** Removes the slots of a peer whose process has ended and with it its connections. */
  removePeer(peer: string): void;
  /** Slots held at a service by the requests of all gateways that may still run. */
  getHeld(service: string, nowMs: number): readonly HeldSlots[];
  /** Time since any peer last reported, whether or not it held slots; infinite if none has. */
  getSilenceMs(nowMs: number): number;
  /** Mean time between two reports of one peer, in milliseconds; 0 before any peer has reported twice. */
  getReportIntervalMs(): number;
}

/** Weight of a new sample in the moving average of the time between reports. */
const INTERVAL_SMOOTHING_FACTOR = 0.02;
/** Bound of one sample, so that a peer that was away has little effect; idle peers report each 250 ms. */
const MAX_INTERVAL_SAMPLE_MS = 250;

const KEY_SEPARATOR = '\n';

const getKey = ({ service, team, priority }: SlotHolder): string =>
  `${service}${KEY_SEPARATOR}${priority}${KEY_SEPARATOR}${team}`;

const parseKey = (key: string): SlotHolder => {
  const [service = '', priority = '', ...team] = key.split(KEY_SEPARATOR);
  return { service, priority: Number(priority), team: team.join(KEY_SEPARATOR) };
};

/** Creates counts of no requests. */
export const newTeamSlots = (): TeamSlots => {
  const tracker = newLoadTracker();
  /** Peers with slots in the tracker, so that datagrams without any cost little. */
  const holding = new Set<string>();
  /** Time of each peer's last report. */
  const reportedMs = new Map<string, number>();
  let lastReportMs = -Infinity;
  let reportIntervalMs: number | undefined;

  const clearPeer = (peer: string): void => {
    if (holding.delete(peer)) tracker.removePeer(peer);
  };

  const learnInterval = (peer: string, nowMs: number): void => {
    const previousMs = reportedMs.get(peer);
    reportedMs.set(peer, nowMs);
    if (previousMs === undefined) return;
    const sample = Math.min(nowMs - previousMs, MAX_INTERVAL_SAMPLE_MS);
    reportIntervalMs ??= sample;
    reportIntervalMs += (sample - reportIntervalMs) * INTERVAL_SMOOTHING_FACTOR;
  };

  return {
    begin: (holder) => tracker.begin(getKey(holder), SERVICE_CLASS.online),
    end: (holder) => tracker.end(getKey(holder), SERVICE_CLASS.online),
    getOwn: () =>
      [...tracker.getOwn()].map(([key, { online }]) => ({ ...parseKey(key), slots: online })),
    updatePeer: (peer, held, nowMs) => {
      lastReportMs = nowMs;
      learnInterval(peer, nowMs);
      if (held.length === 0) {
        clearPeer(peer);
        return;
      }
      holding.add(peer);
      const loads = new Map(
        held.map((entry) => [getKey(entry), { online: entry.slots, batch: 0 }] as const),
      );
      tracker.updatePeer(peer, loads, nowMs);
    },
    removePeer: (peer) => {
      clearPeer(peer);
      reportedMs.delete(peer);
    },
    getHeld: (service, nowMs) =>
      [...tracker.getBusyIds(nowMs)]
        .filter((key) => key.startsWith(service + KEY_SEPARATOR))
        .map((key) => ({ ...parseKey(key), slots: tracker.getLoad(key, nowMs).online })),
    getSilenceMs: (nowMs) => nowMs - lastReportMs,
    getReportIntervalMs: () => reportIntervalMs ?? 0,
  };
};
