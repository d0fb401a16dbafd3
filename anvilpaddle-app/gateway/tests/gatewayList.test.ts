import { loadHashing, newSilentLogger, SystemClock } from '@anvilpaddle/common';
import { newGatewayList, type GatewayList } from '../gatewayList';
import { newMemoryStore } from './kit/memoryStore';

const OBSERVED_MS = 2500;
const POLL_INTERVAL_MS = 10;

const startList = (
  incarnation: string,
  records: ReturnType<typeof newMemoryStore>['records'],
): GatewayList =>
  newGatewayList(
    records,
    {
      vm: `vm-${incarnation}`,
      incarnation,
      address: { host: '127.0.0.1', port: 1 },
      failureDomain: 'zone-1',
    },
    {
      getAdmissions: () => new Map(),
      getMark: () => new Map(),
      onStored: () => undefined,
      hasUnstored: () => false,
      windowMs: 1000,
      onRestored: () => undefined,
    },
    new SystemClock(),
    newSilentLogger(),
  );

beforeAll(loadHashing);

describe('the lists of two gateways that start together', () => {
  it('are current only once each has the other gateway', async () => {
    const { records } = newMemoryStore();
    const lists = { a: startList('a', records), b: startList('b', records) };
    const takesOtherForStopped = (): boolean =>
      (lists.a.isCurrent() && !lists.a.hasRecentHeartbeat('b')) ||
      (lists.b.isCurrent() && !lists.b.hasRecentHeartbeat('a'));
    const startedMs = performance.now();
    let wrongMs = 0;
    while (performance.now() - startedMs < OBSERVED_MS) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_INTERVAL_MS);
      });
      if (takesOtherForStopped()) wrongMs += POLL_INTERVAL_MS;
    }

    expect(wrongMs).toBe(0);
    expect(lists.a.isCurrent() && lists.b.isCurrent()).toBe(true);
  });
});
