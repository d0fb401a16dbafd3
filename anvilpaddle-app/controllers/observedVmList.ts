import type { Vm, VmList } from '@anvilpaddle/platform';

/** The platform's list, with what it last answered. */
export interface ObservedVmList extends VmList {
  latest(): readonly Vm[];
}

/** Passes reads on and remembers the last list, so that an outage leaves it in place. */
export const newObservedVmList = (vms: VmList): ObservedVmList => {
  let latest: readonly Vm[] = [];
  return {
    list: async () => {
      const list = await vms.list();
      if (list.ok) latest = list.value;
      return list;
    },
    latest: () => latest,
  };
};
