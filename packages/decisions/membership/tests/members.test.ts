/** Liveness of members, and the choice of the processes that get heartbeats. */
import fc from 'fast-check';
import { loadHashing } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import type { Member } from '@anvilpaddle/protocol';
import { getContacts, getHeartbeatIntervalMs } from '../contacts';
import { newMemberTable } from '../memberTable';

const SILENCE_TIMEOUT_MS = 2000;
const SEED = 20261203;

const newMember = (vm: string, change: Partial<Member> = {}): Member => ({
  vm,
  address: `${vm}:9000`,
  role: 'sidecar',
  failureDomain: 'kgn-a',
  incarnation: 'first',
  leaving: false,
  models: [],
  revision: 1,
  ...change,
});

const newVm = (vm: string, change: Partial<Vm> = {}): Vm => ({
  vm,
  address: `${vm}:9000`,
  role: 'sidecar',
  failureDomain: 'kgn-a',
  state: 'live',
  ...change,
});

const newTable = () => newMemberTable(() => SILENCE_TIMEOUT_MS);
type Table = ReturnType<typeof newTable>;

describe('members', () => {
  it.each<[string, (members: Table) => void, number, readonly string[]]>([
    [
      'a member with a recent heartbeat',
      (m) => m.recordHeartbeat(newMember('llm-1'), 0),
      100,
      ['llm-1'],
    ],
    [
      'a member without a recent heartbeat',
      (m) => m.recordHeartbeat(newMember('llm-1'), 0),
      SILENCE_TIMEOUT_MS + 1,
      [],
    ],
    [
      'a member whose old answer is read after a pause of this process',
      (m) => m.recordHeartbeat(newMember('llm-1'), 0),
      SILENCE_TIMEOUT_MS + 500,
      [],
    ],
    [
      'a leaving member that the VM list still shows as live',
      (m) => {
        m.updateList([newVm('llm-1')]);
        m.recordHeartbeat(newMember('llm-1', { leaving: true }), 10);
      },
      20,
      [],
    ],
    [
      'a leaving member whose earlier answer arrives after its announcement',
      (m) => {
        m.recordHeartbeat(newMember('llm-1', { leaving: true }), 10);
        m.recordHeartbeat(newMember('llm-1', { leaving: false }), 11);
      },
      20,
      [],
    ],
    [
      'a member that the VM list shows as leaving before it announces it',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.updateList([newVm('llm-1', { state: 'leaving' })]);
      },
      20,
      [],
    ],
    [
      'a new incarnation of a member that was leaving',
      (m) => {
        m.recordHeartbeat(newMember('llm-1', { leaving: true }), 10);
        m.recordHeartbeat(newMember('llm-1', { incarnation: 'second' }), 500);
      },
      600,
      ['llm-1'],
    ],
    [
      'an unreachable member',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.recordFailure('llm-1', 20);
      },
      30,
      [],
    ],
    [
      'an unreachable member with a later heartbeat',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.recordFailure('llm-1', 20);
        m.recordHeartbeat(newMember('llm-1'), 25);
      },
      30,
      ['llm-1'],
    ],
    [
      'an unreachable member whose answer was requested before the failure',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.recordFailure('llm-1', 20);
        m.recordHeartbeat(newMember('llm-1'), 15);
      },
      30,
      [],
    ],
    [
      'a member that the VM list does not contain yet',
      (m) => {
        m.updateList([]);
        m.recordHeartbeat(newMember('llm-1'), 10);
      },
      20,
      ['llm-1'],
    ],
  ])('gives work to live members only: %s', (_, applyEvents, nowMs, expected) => {
    const members = newTable();
    applyEvents(members);

    expect(members.live(nowMs).map(({ vm }) => vm)).toEqual(expected);
  });

  it('agrees with a model that evaluates the log of all events', () => {
    const eventArbitrary = fc.record({
      vm: fc.constantFrom('llm-1', 'llm-2'),
      kind: fc.constantFrom('hear', 'fail', 'leave'),
      afterMs: fc.integer({ min: 1, max: 900 }),
    });
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 40 }), (events) => {
        const members = newTable();
        const log: { vm: string; kind: string; atMs: number }[] = [];
        let nowMs = 0;
        events.forEach(({ vm, kind, afterMs }) => {
          nowMs += afterMs;
          log.push({ vm, kind, atMs: nowMs });
          if (kind === 'fail') members.recordFailure(vm, nowMs);
          else members.recordHeartbeat(newMember(vm, { leaving: kind === 'leave' }), nowMs);
          const isLive = (name: string): boolean => {
            const ownEvents = log.filter((event) => event.vm === name);
            const lastSeen = ownEvents.filter((event) => event.kind !== 'fail').at(-1);
            const lastFailure = ownEvents.filter((event) => event.kind === 'fail').at(-1);
            if (lastSeen === undefined || nowMs - lastSeen.atMs > SILENCE_TIMEOUT_MS) return false;
            const firstSeen = ownEvents.find((event) => event.kind !== 'fail');
            const wasKnown = lastFailure !== undefined && (firstSeen?.atMs ?? 0) < lastFailure.atMs;
            if (wasKnown && lastFailure.atMs >= lastSeen.atMs) return false;
            return !ownEvents.some((event) => event.kind === 'leave');
          };
          const expected = ['llm-1', 'llm-2'].filter(isLive);
          expect(
            members
              .live(nowMs)
              .map((member) => member.vm)
              .sort(),
          ).toEqual(expected);
        });
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});

describe('heartbeat contacts', () => {
  const FANOUT = { sidecarsPerGroup: 8, entries: 4 };
  const DOMAINS = ['kgn-a', 'kgn-b', 'mobay-c'];
  const getFleet = (entries: number, sidecars: number): Vm[] => [
    ...Array.from({ length: entries }, (_, index) =>
      newVm(`entry-${index}`, { role: 'entry', failureDomain: DOMAINS[index % 3] ?? '' }),
    ),
    ...Array.from({ length: sidecars }, (_, index) =>
      newVm(`llm-${index}`, { group: 'llm', failureDomain: DOMAINS[index % 3] ?? '' }),
    ),
  ];

  beforeAll(loadHashing);

  it('include every other process of a small fleet', () => {
    const fleet = getFleet(3, 8);

    expect(getContacts(fleet[0] as Vm, fleet, FANOUT)).toHaveLength(10);
  });

  it.each([30, 300, 3000])(
    'are equally many with %i sidecars and cover every failure domain',
    (sidecars) => {
      const fleet = getFleet(20, sidecars);
      const contacts = getContacts(fleet[0] as Vm, fleet, FANOUT);

      expect(contacts).toHaveLength(12);
      const domains = contacts
        .filter(({ role }) => role === 'sidecar')
        .map((vm) => vm.failureDomain);
      expect(new Set(domains).size).toBe(3);
    },
  );

  it('lose only the removed VM when one VM leaves the list', () => {
    const fleet = getFleet(20, 100);
    const before = getContacts(fleet[0] as Vm, fleet, FANOUT);
    before.forEach((removed) => {
      const after = getContacts(
        fleet[0] as Vm,
        fleet.filter((vm) => vm !== removed),
        FANOUT,
      );
      expect(before.filter((vm) => !after.includes(vm))).toEqual([removed]);
    });
  });

  it('connect every sidecar with several entry processes, in either direction', () => {
    const fleet = getFleet(40, 100);
    const links = fleet.flatMap((self) =>
      getContacts(self, fleet, FANOUT).map((contact) => [self.vm, contact.vm] as const),
    );
    const getEntriesOf = (sidecar: string): Set<string> =>
      new Set(
        links
          .filter((link) => link.includes(sidecar))
          .flat()
          .filter((vm) => vm.startsWith('entry')),
      );
    const counts = fleet.slice(40).map(({ vm }) => getEntriesOf(vm).size);

    expect(Math.min(...counts)).toBeGreaterThanOrEqual(FANOUT.entries);
  });

  it.each([
    [10, 500],
    [200, 10_000],
  ])('numbering %i each receive a heartbeat every %i ms', (contacts, expectedMs) => {
    expect(getHeartbeatIntervalMs(contacts, 500, 20)).toBe(expectedMs);
  });
});
