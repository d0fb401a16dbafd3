import { ManualClock, newSilentLogger } from '@anvilpaddle/common';
import type { StoredRecord } from '@anvilpaddle/platform';
import { parseEvacuationKey } from 'anvilpaddle-platform/evacuationKey';
import { newEvacuations } from '../evacuations';

const BOUND_MS = 5000;
const CONFIG: Change = { key: 'config', revision: 1, value: '{}' };

interface Change {
  readonly key: string;
  readonly revision: number;
  /** Undefined for a record that was removed. */
  readonly value?: string;
}

const newRecord = ({ key, revision, value }: Change): StoredRecord => ({
  table: 'op',
  partition: '',
  key,
  revision,
  value: value === undefined ? undefined : Buffer.from(value),
});

const start = (bound: { readonly ms?: number } = { ms: BOUND_MS }) => {
  const clock = new ManualClock();
  const lines: string[] = [];
  const log = newSilentLogger();
  Object.assign(log, {
    warn: ({ failureDomain }: { failureDomain?: string }, message: string) =>
      lines.push(`${message} ${failureDomain ?? ''}`.trim()),
  });
  const ends: unknown[] = [];
  const onEnd = (...end: readonly unknown[]) => ends.push(end);
  const evacuations = newEvacuations(parseEvacuationKey, bound.ms, onEnd, clock, log);
  const apply = (isSnapshot: boolean, revision: number, changes: readonly Change[]): void =>
    evacuations.applyUpdate({
      records: changes.map(newRecord),
      isSnapshot,
      revision,
      requestedMs: clock.monotonic(),
      storeMs: 0,
      recoveredMs: undefined,
    });
  return {
    clock,
    lines,
    ends,
    evacuations,
    read: (revision: number, changes: readonly Change[]) => apply(true, revision, changes),
    watch: (revision: number, changes: readonly Change[]) => apply(false, revision, changes),
    fail: (requestedMs: number, requestedWallMs: number) =>
      evacuations.applyFailure({ requestedMs, requestedWallMs }),
    getState: (...names: readonly string[]) => names.map(evacuations.isEvacuated),
  };
};

describe('evacuations', () => {
  // Guards against a gateway that serves before it knows them.
  it('are not current before the first read, which tells all of them', () => {
    const { evacuations, read, getState } = start();
    const before = evacuations.isCurrent();
    read(9, [CONFIG, { key: 'evacuate/a', revision: 5, value: '{}' }]);

    expect([before, evacuations.isCurrent()]).toEqual([false, true]);
    expect(getState('a', 'b')).toEqual([true, false]);
  });

  it('begin and end by the watch, for two failure domains at once', () => {
    const { lines, ends, evacuations, read, watch, getState } = start();
    read(1, [CONFIG]);
    watch(3, [
      { key: 'evacuate/a', revision: 2, value: '{}' },
      { key: 'evacuate/b/c', revision: 3, value: '{}' },
    ]);
    const both = getState('a', 'b/c');
    watch(5, [{ key: 'evacuate/a', revision: 4 }]);

    expect(both).toEqual([true, true]);
    expect(getState('a', 'b/c')).toEqual([false, true]);
    expect(evacuations.getCount()).toBe(1);
    expect(ends).toEqual([['a', 4]]);
    expect(lines).toEqual(['evacuation begins a', 'evacuation begins b/c', 'evacuation ends a']);
  });

  // Guards against a request that is passed over because its value can't be read.
  it('are requested by the key alone, which must name a failure domain', () => {
    const { lines, read, getState } = start();
    const changes = [
      CONFIG,
      { key: 'evacuate/a', revision: 2, value: '{"odd' },
      { key: 'evacuate/', revision: 3, value: '{}' },
      { key: 'evacuated/b', revision: 4, value: '{}' },
    ];
    read(4, changes);
    read(4, changes);

    expect(getState('a', 'b', '')).toEqual([true, false, false]);
    expect(lines).toEqual(['evacuation without a failure domain', 'evacuation begins a']);
  });

  it.each([
    ['began', [CONFIG], [CONFIG, { key: 'evacuate/a', revision: 2, value: '{}' }], true],
    ['ended', [CONFIG, { key: 'evacuate/a', revision: 2, value: '{}' }], [CONFIG], false],
  ])('that %s while a watch missed it are known by the next read', (_, first, second, expected) => {
    const { read, watch, getState } = start();
    read(2, first);
    watch(5, []);
    read(6, second);

    expect(getState('a')).toEqual([expected]);
  });

  // A watch starts before the last read and returns changes that the read has overtaken.
  it('don’t begin again by a change that is older than their end', () => {
    const { lines, read, watch, getState } = start();
    read(2, [CONFIG, { key: 'evacuate/a', revision: 2, value: '{}' }]);
    read(4, [CONFIG]);
    watch(4, [{ key: 'evacuate/a', revision: 2, value: '{}' }]);

    expect(getState('a')).toEqual([false]);
    expect(lines).toHaveLength(2);
  });

  it('that are withdrawn within a second end, also if the changes come in reverse', () => {
    const { read, watch, getState } = start();
    read(1, [CONFIG]);
    watch(3, [
      { key: 'evacuate/a', revision: 3 },
      { key: 'evacuate/a', revision: 2, value: '{}' },
    ]);

    expect(getState('a')).toEqual([false]);
  });

  // An operator whose write got no response writes the row again.
  it('begin once however often the row is written', () => {
    const { lines, read, watch, getState } = start();
    read(1, [CONFIG]);
    watch(2, [{ key: 'evacuate/a', revision: 2, value: '{}' }]);
    watch(3, [{ key: 'evacuate/a', revision: 3, value: '{}' }]);

    expect(getState('a')).toEqual([true]);
    expect(lines).toEqual(['evacuation begins a']);
  });

  it('stay as last known while the store fails', () => {
    const { clock, evacuations, read, fail, getState } = start();
    read(2, [CONFIG, { key: 'evacuate/a', revision: 2, value: '{}' }]);
    for (let failures = 0; failures < 20; failures += 1) {
      const [requestedMs, requestedWallMs] = [clock.monotonic(), clock.wall()];
      clock.advance(3300);
      fail(requestedMs, requestedWallMs);
    }

    expect(evacuations.isCurrent()).toBe(true);
    expect(getState('a')).toEqual([true]);
  });

  // Guards against requests to a domain whose evacuation became binding while the process stood still.
  it.each([
    ['frozen', (clock: ManualClock) => clock.advance(BOUND_MS)],
    ['suspended with its clock', (clock: ManualClock) => clock.stepWall(BOUND_MS)],
  ])('are not current after the process was %s, until the next read', (_, stop) => {
    const { clock, evacuations, read, fail } = start();
    read(1, [CONFIG]);
    const [requestedMs, requestedWallMs] = [clock.monotonic(), clock.wall()];
    stop(clock);
    const afterStop = evacuations.isCurrent();
    // The call that was under way fails as the process wakes up.
    fail(requestedMs, requestedWallMs);
    const afterFailure = evacuations.isCurrent();
    read(2, [CONFIG, { key: 'evacuate/a', revision: 2, value: '{}' }]);

    expect([afterStop, afterFailure, evacuations.isCurrent()]).toEqual([false, false, true]);
  });

  it('change nothing where none is requested and the platform names no bound', () => {
    const { clock, lines, evacuations, read, watch, getState } = start({});
    read(1, [CONFIG]);
    watch(2, [{ ...CONFIG, revision: 2 }]);
    clock.advance(60_000);

    expect(getState('a')).toEqual([false]);
    expect([evacuations.isCurrent(), evacuations.getCount(), lines.length]).toEqual([true, 0, 0]);
  });
});
