/** The reported age of the configuration under random changes, faults and restarts. */
import fc from 'fast-check';
import { newTestVm, newConfigFleet, type ConfigFleet } from '../../tests/kit/configFleet';

/** Time that a `wait` step takes. */
const WAIT_MS = 500;
const ENTRIES = 3;
const SIDECARS = 1;

/** Step of a generated run: a change, a refresh or a fault at one or more nodes. */
type Step =
  | { readonly kind: 'change'; readonly node: number }
  | { readonly kind: 'lost_change'; readonly node: number }
  | { readonly kind: 'tick'; readonly node: number }
  | { readonly kind: 'restart'; readonly node: number }
  | { readonly kind: 'store'; readonly node: number; readonly isDown: boolean }
  | { readonly kind: 'outage'; readonly isDown: boolean }
  | { readonly kind: 'cut'; readonly a: number; readonly b: number; readonly isCut: boolean }
  | { readonly kind: 'partition'; readonly size: number; readonly isCut: boolean }
  | { readonly kind: 'wait' };

const nodeArbitrary = fc.nat(ENTRIES + SIDECARS - 1);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('change' as const), node: nodeArbitrary }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('lost_change' as const), node: nodeArbitrary }),
  },
  { weight: 12, arbitrary: fc.record({ kind: fc.constant('tick' as const), node: nodeArbitrary }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('restart' as const), node: nodeArbitrary }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('store' as const),
      node: nodeArbitrary,
      isDown: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('outage' as const), isDown: fc.boolean() }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      a: nodeArbitrary,
      b: nodeArbitrary,
      isCut: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('partition' as const),
      size: fc.nat(ENTRIES),
      isCut: fc.boolean(),
    }),
  },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait' as const) }) },
);

/** Acknowledged change with the time of the acknowledgement. */
interface AcknowledgedChange {
  readonly revision: number;
  readonly atMs: number;
}

/** Cuts or restores all links between the first `size` nodes and the others. */
const setPartition = (fleet: ConfigFleet, size: number, isCut: boolean): void =>
  fleet.nodes.forEach((a, i) =>
    fleet.nodes.forEach((b, j) => {
      if (i < size && j >= size) fleet.setCut(a.vm, b.vm, isCut);
    }),
  );

/** Proposes a change at an entry; returns its revision when it was acknowledged. */
const proposeChange = async (
  fleet: ConfigFleet,
  index: number,
  count: number,
): Promise<number | undefined> => {
  const node = fleet.nodes[index];
  if (node === undefined || !node.vm.startsWith('entry')) return undefined;
  const proposed = await node.controller.propose({
    author: 'test',
    changes: [{ kind: 'team', id: `team-${count}`, value: {}, basedOn: 0 }],
  });
  return proposed.ok ? proposed.value : undefined;
};

const runStep = async (
  fleet: ConfigFleet,
  step: Step,
  count: number,
): Promise<number | undefined> => {
  switch (step.kind) {
    case 'change':
      return proposeChange(fleet, step.node, count);
    case 'lost_change': {
      const store = fleet.nodes[step.node]?.storeFaults;
      if (store !== undefined) store.responsesToLose = 1;
      return undefined;
    }
    case 'tick':
      await fleet.nodes[step.node]?.controller.refresh();
      return undefined;
    case 'restart': {
      const node = fleet.nodes[step.node];
      if (node !== undefined) fleet.restart(node);
      return undefined;
    }
    case 'store': {
      const store = fleet.nodes[step.node]?.storeFaults;
      if (store !== undefined) store.isDown = step.isDown;
      return undefined;
    }
    case 'outage':
      fleet.nodes.forEach(({ storeFaults }) => Object.assign(storeFaults, { isDown: step.isDown }));
      return undefined;
    case 'cut': {
      const [a, b] = [fleet.nodes[step.a], fleet.nodes[step.b]];
      if (a !== undefined && b !== undefined) fleet.setCut(a.vm, b.vm, step.isCut);
      return undefined;
    }
    case 'partition':
      setPartition(fleet, step.size, step.isCut);
      return undefined;
    default:
      fleet.clock.advance(WAIT_MS);
      return undefined;
  }
};

/** Returns the acknowledged changes that a node lacks although it reports to be current. */
const getMissedChanges = (
  fleet: ConfigFleet,
  acknowledged: readonly AcknowledgedChange[],
): string[] =>
  fleet.nodes.flatMap(({ vm, controller }) => {
    const currentAtMs = fleet.clock.monotonic() - controller.ageMs();
    return acknowledged
      .filter(
        ({ revision, atMs }) => atMs <= currentAtMs && revision > controller.current().revision,
      )
      .map(({ revision }) => `${vm} lacks ${revision}`);
  });

describe('the reported age of the configuration', () => {
  it('never covers an acknowledged change that the node lacks, during cuts, outages and restarts', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }),
        async (steps) => {
          const names = [
            ...Array.from({ length: ENTRIES }, (_, i) => `entry-${i}`),
            ...Array.from({ length: SIDECARS }, (_, i) => `llm-${i}`),
          ];
          const fleet = await newConfigFleet(names.map((vm, i) => newTestVm(vm, `fd-${i % 3}`)));
          const acknowledged: AcknowledgedChange[] = [];
          for (const [count, step] of steps.entries()) {
            const before = fleet.nodes.map(
              ({ controller }) => [controller, controller.current().revision] as const,
            );
            const revision = await runStep(fleet, step, count);
            if (revision !== undefined) {
              // A node may be current at the time of the acknowledgement itself, so that the change
              // counts from 1 ms later.
              fleet.clock.advance(1);
              acknowledged.push({ revision, atMs: fleet.clock.monotonic() });
              fleet.clock.advance(1);
            }
            expect(getMissedChanges(fleet, acknowledged)).toEqual([]);
            before.forEach(([controller, revisionBefore]) =>
              expect(controller.current().revision).toBeGreaterThanOrEqual(revisionBefore),
            );
          }
        },
      ),
      { seed: 20261203, numRuns: 150 },
    );
  });
});
