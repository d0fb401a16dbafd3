import { newSeededRandom } from '@anvilpaddle/common';
import { newLoadTracker, type Loads, type LoadTracker, type UpstreamLoad } from '../loadTracker';

const LOADS = new Map([['u1', { online: 3, batch: 2 }]]);
const RECEIVED_MS = 1000;

const UPSTREAMS = ['u1', 'u2', 'u3', 'u4'];

const getLoads = (tracker: LoadTracker, nowMs: number): UpstreamLoad[] =>
  UPSTREAMS.map((id) => tracker.getLoad(id, nowMs));

const getSum = (
  reports: readonly { readonly loads: Loads; readonly receivedMs: number }[],
  upstream: string,
  nowMs: number,
): UpstreamLoad =>
  reports.reduce(
    (sum, { loads, receivedMs }) => {
      const load = loads.get(upstream) ?? { online: 0, batch: 0 };
      const ageMs = nowMs - receivedMs;
      return {
        online: sum.online + (ageMs <= 1500 ? load.online : 0),
        batch: sum.batch + (ageMs <= 5000 ? load.batch : 0),
      };
    },
    { online: 0, batch: 0 },
  );

/** Naive version: visits all reports at each lookup. */
const getSums = (
  reports: readonly { readonly loads: Loads; readonly receivedMs: number }[],
  nowMs: number,
): UpstreamLoad[] => UPSTREAMS.map((id) => getSum(reports, id, nowMs));

describe('load tracker', () => {
  it.each([
    ['right after its report', 0, { online: 3, batch: 2 }],
    ['while its online requests may run', 1400, { online: 3, batch: 2 }],
    ['while its batch items may run', 4000, { online: 0, batch: 2 }],
    ['after they have ended', 5100, { online: 0, batch: 0 }],
  ])('counts the requests of a peer that has stopped reporting, %s', (_, silenceMs, load) => {
    const tracker = newLoadTracker();
    tracker.updatePeer('peer', LOADS, RECEIVED_MS);

    expect(tracker.getLoad('u1', RECEIVED_MS + silenceMs)).toEqual(load);
  });

  it('counts no requests of a process that has ended', () => {
    const tracker = newLoadTracker();
    tracker.updatePeer('peer', LOADS, RECEIVED_MS);
    tracker.removePeer('peer');

    expect(tracker.getLoad('u1', RECEIVED_MS)).toEqual({ online: 0, batch: 0 });
  });

  // Guards against unchanged loads that are not counted for longer, or are counted twice.
  it('counts unchanged loads from their last report on', () => {
    const tracker = newLoadTracker();
    tracker.updatePeer('peer', LOADS, RECEIVED_MS);
    tracker.updatePeer('peer', LOADS, RECEIVED_MS + 1400);
    expect(tracker.getLoad('u1', RECEIVED_MS + 2800)).toEqual({ online: 3, batch: 2 });
    expect(tracker.getLoad('u1', RECEIVED_MS + 3000)).toEqual({ online: 0, batch: 2 });

    tracker.updatePeer('peer', LOADS, RECEIVED_MS + 3100);
    expect(tracker.getLoad('u1', RECEIVED_MS + 3100)).toEqual({ online: 3, batch: 2 });
  });

  it('notifies of each change of the own load', () => {
    let changes = 0;
    const tracker = newLoadTracker(() => {
      changes += 1;
    });
    tracker.begin('u1', 'online');
    tracker.end('u1', 'online');

    expect(changes).toBe(2);
    expect(tracker.getOwn().size).toBe(0);
  });

  it('gives the same loads as a sum over the reports of all peers', () => {
    const random = newSeededRandom(4);
    const getInt = (limit: number): number => Math.floor(random() * limit);
    const tracker = newLoadTracker();
    const reports = new Map<string, { loads: Loads; receivedMs: number }>();
    let nowMs = 0;
    for (let step = 0; step < 5000; step += 1) {
      nowMs += getInt(400);
      const peer = `p${getInt(8)}`;
      const loads = new Map(
        UPSTREAMS.filter(() => random() < 0.5).map((id) => [
          id,
          { online: getInt(3), batch: getInt(3) },
        ]),
      );
      if (random() < 0.2) {
        tracker.removePeer(peer);
        reports.delete(peer);
      } else {
        tracker.updatePeer(peer, loads, nowMs);
        reports.set(peer, { loads, receivedMs: nowMs });
      }
      nowMs += random() < 0.05 ? getInt(6000) : 0;
      const expected = getSums([...reports.values()], nowMs);

      expect(getLoads(tracker, nowMs)).toEqual(expected);
    }
  });
});
