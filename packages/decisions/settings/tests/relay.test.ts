import { loadHashing } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import { getWriteQuorum, getConfigSource, getVoters, getReadQuorum } from '../relay';

const getVms = (entries: number, sidecars: number, domains: number): Vm[] =>
  Array.from({ length: entries + sidecars }, (_, i) => {
    const role = i < entries ? 'entry' : 'sidecar';
    const vm = `${role}-${i}`;
    return { vm, address: vm, role, failureDomain: `fd-${i % domains}`, state: 'live' };
  });

/** Number of processes on the way from a VM to a voter, including the voter. */
const getHops = (vm: Vm, vms: readonly Vm[], voters: ReadonlySet<string>): number => {
  let hops = 0;
  let current = vm;
  while (!voters.has(current.vm) && hops < 10) {
    const source = getConfigSource(current, vms);
    current = vms.find(({ address }) => address === source) ?? current;
    hops += 1;
  }
  return hops;
};

describe('the relay', () => {
  beforeAll(loadHashing);

  it.each([
    [1, 1, 1],
    [3, 12, 3],
    [30, 120, 3],
    [240, 1000, 16],
  ])(
    'of %d entries and %d sidecars in %d failure domains reaches voters',
    (entries, sidecars, domains) => {
      const vms = getVms(entries, sidecars, domains);
      const voters = getVoters(vms);
      const voterNames = new Set(voters.map(({ vm }) => vm));
      const hops = vms.map((vm) => getHops(vm, vms, voterNames));
      const readerCounts = new Map<string, number>();
      vms
        .filter(({ vm }) => !voterNames.has(vm))
        .forEach((vm) => {
          const source = getConfigSource(vm, vms) ?? 'none';
          readerCounts.set(source, (readerCounts.get(source) ?? 0) + 1);
        });

      expect(voters.length).toBeLessThanOrEqual(3 * domains);
      expect(Math.max(...hops)).toBeLessThanOrEqual(2);
      expect(readerCounts.get('none') ?? 0).toBe(0);
      expect(Math.max(...readerCounts.values())).toBeLessThanOrEqual(64);
    },
  );

  it('has read and write quorums that always overlap', () => {
    for (let voters = 1; voters <= 100; voters += 1) {
      expect(getWriteQuorum(voters) + getReadQuorum(voters)).toBeGreaterThan(voters);
      expect(getWriteQuorum(voters)).toBeLessThanOrEqual(voters);
      expect(getReadQuorum(voters)).toBeLessThanOrEqual(voters);
    }
  });
});
