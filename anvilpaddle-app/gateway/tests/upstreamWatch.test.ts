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

const AWAY: Page = newFailure({ kind: 'unavailable', detail: 'away' });

/** Store whose reads give the pages one after the other, the last for good; its watches fail. */
const newStore = (pages: Page[], onRead: () => void): RecordStore => ({
  read: () => {
    onRead();
    return Promise.resolve(pages.length > 1 ? (pages.shift() ?? AWAY) : (pages[0] ?? AWAY));
  },
  partitions: () => Promise.resolve(newOk([])),
  commit: () => Promise.reject(new Error('not used')),
  watch: () => Promise.resolve(newFailure({ kind: 'history_gone' })),
});

/** Lets promises settle, then moves time on, in steps. */
const pass = async (clock: ManualClock, durationMs: number): Promise<void> => {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    clock.advance(50);
  }
};

const start = (pages: Page[]) => {
  const clock = new ManualClock();
  const state = { reads: 0 };
  const onRead = (): void => {
    state.reads += 1;
  };
  const watch = newUpstreamWatch(
    newStore(pages, onRead),
    { table: 't', parse: parseUpstream },
    () => undefined,
    clock,
    newSilentLogger(),
  );
  const getIds = (): string[] => watch.getUsable('s').map(({ id }) => id);
  return { clock, watch, getIds, state };
};

describe('list of upstreams', () => {
  it('drops an entry that is gone at once while the store answers', async () => {
    const { clock, watch, getIds } = start([newPage(1, ['a', 'b']), newPage(2, ['a'])]);
    await pass(clock, 100);
    expect(getIds()).toEqual(['a', 'b']);
    await pass(clock, 6000);
    watch.stop();

    expect(getIds()).toEqual(['a']);
  });

  it('keeps an entry that lapsed while the store was away for two seconds after its return', async () => {
    const { clock, watch, getIds } = start([newPage(1, ['a']), AWAY, newPage(2, [])]);
    await pass(clock, 1000);
    expect(getIds()).toEqual(['a']);
    await pass(clock, 5000);
    watch.stop();

    expect(getIds()).toEqual([]);
  });

  it('pauses between reads while the watch fails', async () => {
    const { clock, watch, state } = start([newPage(1, ['a'])]);
    await pass(clock, 3000);
    watch.stop();

    expect(state.reads).toBeLessThanOrEqual(3000 / 150 + 1);
  });

  it('never goes back to an older page', async () => {
    const { clock, watch, getIds } = start([newPage(5, ['a']), newPage(3, ['a', 'old'])]);
    await pass(clock, 4000);
    watch.stop();

    expect(getIds()).toEqual(['a']);
  });

  it('gives no work for a while to an upstream whose address belongs to another', async () => {
    const { clock, watch, getIds } = start([newPage(1, ['a', 'b'])]);
    await pass(clock, 100);
    const upstream = watch.all().find(({ id }) => id === 'a');
    if (upstream === undefined) throw new Error('not listed');
    watch.reportReplaced(upstream);

    expect(getIds()).toEqual(['b']);
    await pass(clock, 5000);
    expect(getIds()).toEqual(['a', 'b']);
  });
});
