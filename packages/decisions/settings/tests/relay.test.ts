import { loadHashing } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import { getWriteQuorum, getConfigSource, getVoters, getReadQuorum } from '../relay';

const getVms = (entries: number, sidecars: number, domains: number): Vm[] =>
  Array.from({ length: entries + sidecars }, (_, i) => {
    const role = i < entries ? 'entry' : 'sidecar';
    const vm = `${role}-${i}`;
    return { vm, address: vm, role, failureDomain: `fd-${i % domains}`, state: 'live' };
  });

/** Processes between a VM and a voter, the voter included. */
const getHops = (vm: Vm, vms: readonly Vm[], voters: ReadonlySet<string>): number => {
  let hops = 0;
  let at = vm;
  while (!voters.has(at.vm) && hops < 10) {
    const source = getConfigSource(at, vms);
    at = vms.find(({ address }) => address === source) ?? at;
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
      const names = new Set(voters.map(({ vm }) => vm));
      const hops = vms.map((vm) => getHops(vm, vms, names));
      const audience = new Map<string, number>();
      vms
        .filter(({ vm }) => !names.has(vm))
        .forEach((vm) => {
          const source = getConfigSource(vm, vms) ?? 'none';
          audience.set(source, (audience.get(source) ?? 0) + 1);
        });

      expect(voters.length).toBeLessThanOrEqual(3 * domains);
      expect(Math.max(...hops)).toBeLessThanOrEqual(2);
      expect(audience.get('none') ?? 0).toBe(0);
      expect(Math.max(...audience.values())).toBeLessThanOrEqual(64);
    },
  );

  it('needs so many voters that holders and vouchers always share one', () => {
    for (let voters = 1; voters <= 100; voters += 1) {
      expect(getWriteQuorum(voters) + getReadQuorum(voters)).toBeGreaterThan(voters);
      expect(getWriteQuorum(voters)).toBeLessThanOrEqual(voters);
      expect(getReadQuorum(voters)).toBeLessThanOrEqual(voters);
    }
  });
});
