/** Slots that the online requests of each team hold, over all gateways. */
import { getCompositeKey } from '@anvilpaddle/common';
import { PEER_LOAD_TIMEOUT_MS } from '../placement/loadTracker';

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

/** Requests of one holder. */
interface Count extends SlotHolder {
  own: number;
  peers: number;
}

/** Slots that a peer reported. */
interface Report {
  readonly held: readonly { readonly count: Count; readonly slots: number }[];
  readonly receivedMs: number;
}

const getKey = ({ service, team, priority }: SlotHolder): string =>
  getCompositeKey(service, String(priority), team);

const getHeldSlots = (count: Count, slots: number): HeldSlots => ({
  service: count.service,
  team: count.team,
  priority: count.priority,
  slots,
});

/** Creates counts of no requests; sums are kept up to date, as reports are far more frequent than lookups. */
export const newTeamSlots = (): TeamSlots => {
  const counts = new Map<string, Count>();
  /** Counts with requests of this gateway. */
  const ownCounts = new Set<Count>();
  /** Reports by peer, in the order in which they arrived; none for a peer without slots. */
  const reports = new Map<string, Report>();
  /** Time of each peer's last report. */
  const reportedMs = new Map<string, number>();
  let lastReportMs = -Infinity;
  let reportIntervalMs: number | undefined;

  const getCount = ({ service, team, priority }: SlotHolder): Count => {
    const key = getKey({ service, team, priority });
    const known = counts.get(key);
    if (known !== undefined) return known;
    const count = { service, team, priority, own: 0, peers: 0 };
    counts.set(key, count);
    return count;
  };

  const removeIfUnused = (count: Count): void => {
    if (count.own === 0 && count.peers === 0) counts.delete(getKey(count));
  };

  const changeOwn = (holder: SlotHolder, delta: 1 | -1): void => {
    const count = getCount(holder);
    count.own += delta;
    if (count.own === 0) ownCounts.delete(count);
    else ownCounts.add(count);
    removeIfUnused(count);
  };

  const removeReport = (peer: string): Report | undefined => {
    const report = reports.get(peer);
    if (report === undefined) return undefined;
    reports.delete(peer);
    for (const { count, slots } of report.held) count.peers -= slots;
    return report;
  };

  const clearPeer = (peer: string): void =>
    removeReport(peer)?.held.forEach(({ count }) => removeIfUnused(count));

  const removeTimedOut = (nowMs: number): void => {
    for (const [peer, { receivedMs }] of reports) {
      if (nowMs - receivedMs <= PEER_LOAD_TIMEOUT_MS.online) return;
      clearPeer(peer);
    }
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
    begin: (holder) => changeOwn(holder, 1),
    end: (holder) => changeOwn(holder, -1),
    getOwn: () => [...ownCounts].map((count) => getHeldSlots(count, count.own)),
    updatePeer: (peer, held, nowMs) => {
      lastReportMs = nowMs;
      learnInterval(peer, nowMs);
      const previous = removeReport(peer);
      if (held.length > 0) {
        const reported = held.map((entry) => {
          const count = getCount(entry);
          count.peers += entry.slots;
          return { count, slots: entry.slots };
        });
        reports.set(peer, { held: reported, receivedMs: nowMs });
      }
      previous?.held.forEach(({ count }) => removeIfUnused(count));
    },
    removePeer: (peer) => {
      clearPeer(peer);
      reportedMs.delete(peer);
    },
    getHeld: (service, nowMs) => {
      removeTimedOut(nowMs);
      return [...counts.values()]
        .filter((count) => count.service === service)
        .map((count) => getHeldSlots(count, count.own + count.peers));
    },
    getSilenceMs: (nowMs) => nowMs - lastReportMs,
    getReportIntervalMs: () => reportIntervalMs ?? 0,
  };
};
