import { ManualClock, newFailure, newOk, newSilentLogger, type Result } from '@anvilpaddle/common';
import type { PlatformError, RecordPage, RecordStore } from '@anvilpaddle/platform';
import { parseUpstream } from 'anvilpaddle-platform/upstreamRow';
import { newUpstreamWatch } from '../upstreamWatch';

type Page = Result<RecordPage, PlatformError>;

const ROW = { service: 's', address: '10.0.0.1:80', zone: 'z', slots: 4, state: 'ready', born: 1 };

const newPage = (revision: number, ids: readonly string[]): Page =>
  newOk({
    revision,
    storeMs: revision,
    records: ids.map((key) => ({
      table: 't',
      partition: '',
      key,
      revision,
      value: Buffer.from(JSON.stringify(ROW)),
    })),
  });

const UNREACHABLE: Page = newFailure({ kind: 'unavailable', detail: 'away' });

/** Store whose reads return the pages in order, then the last one repeatedly; its watches fail. */
const newStore = (pages: Page[], onRead: () => void): RecordStore => ({
  read: () => {
    onRead();
    return Promise.resolve(
      pages.length > 1 ? (pages.shift() ?? UNREACHABLE) : (pages[0] ?? UNREACHABLE),
    );
  },
  partitions: () => Promise.resolve(newOk([])),
  commit: () => Promise.reject(new Error('not used')),
  watch: () => Promise.resolve(newFailure({ kind: 'history_gone' })),
});

/** Advances the clock in steps of 50 ms and lets promises settle before each step. */
const advance = async (clock: ManualClock, durationMs: number): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    clock.advance(50);
  }
};

const startWatch = (pages: Page[], isClosed: (failureDomain: string) => boolean = () => false) => {
  const clock = new ManualClock();
  const state = { reads: 0 };
  const onRead = (): void => {
    state.reads += 1;
  };
  const watch = newUpstreamWatch(
    newStore(pages, onRead),
    { table: 't', parse: parseUpstream },
    { isClosed, onRecord: () => undefined, onChange: () => undefined },
    clock,
    newSilentLogger(),
  );
  const getIds = (): string[] => watch.getUsable('s').map(({ id }) => id);
  return { clock, watch, getIds, state };
};

describe('list of upstreams', () => {
  it('removes a missing entry at once while the store answers', async () => {
    const { clock, watch, getIds } = startWatch([newPage(1, ['a', 'b']), newPage(2, ['a'])]);
    await advance(clock, 100);
    expect(getIds()).toEqual(['a', 'b']);
    await advance(clock, 6000);
    watch.stop();

    expect(getIds()).toEqual(['a']);
  });

  it('keeps an entry that expired while the store was unreachable for two seconds more', async () => {
    const { clock, watch, getIds } = startWatch([newPage(1, ['a']), UNREACHABLE, newPage(2, [])]);
    await advance(clock, 1000);
    expect(getIds()).toEqual(['a']);
    await advance(clock, 5000);
    watch.stop();

    expect(getIds()).toEqual([]);
  });

  it('pauses between reads while the watch fails', async () => {
    const { clock, watch, state } = startWatch([newPage(1, ['a'])]);
    await advance(clock, 3000);
    watch.stop();

    expect(state.reads).toBeLessThanOrEqual(3000 / 150 + 1);
  });

  it('never goes back to an older page', async () => {
    const { clock, watch, getIds } = startWatch([newPage(5, ['a']), newPage(3, ['a', 'old'])]);
    await advance(clock, 4000);
    watch.stop();

    expect(getIds()).toEqual(['a']);
  });

  it('offers no upstream of a closed failure domain', async () => {
    let closed = 'other';
    const { clock, watch, getIds } = startWatch([newPage(1, ['a'])], (name) => name === closed);
    await advance(clock, 100);
    const before = { ids: getIds(), areUsable: watch.getAll().map(watch.isUsable) };
    closed = ROW.zone;
    const after = { ids: getIds(), areUsable: watch.getAll().map(watch.isUsable) };
    watch.stop();

    expect(before).toEqual({ ids: ['a'], areUsable: [true] });
    expect(after).toEqual({ ids: [], areUsable: [false] });
  });

  it('excludes an upstream for a while after another process answered at its address', async () => {
    const { clock, watch, getIds } = startWatch([newPage(1, ['a', 'b'])]);
    await advance(clock, 100);
    const upstream = watch.getAll().find(({ id }) => id === 'a');
    if (upstream === undefined) throw new Error('not listed');
    watch.reportReplaced(upstream);

    expect(getIds()).toEqual(['b']);
    await advance(clock, 5000);
    expect(getIds()).toEqual(['a', 'b']);
  });
});
