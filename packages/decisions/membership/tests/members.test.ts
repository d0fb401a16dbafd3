import fc from 'fast-check';
import { loadHashing } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import type { Member } from '@anvilpaddle/protocol';
import { getContacts, getHeartbeatIntervalMs } from '../contacts';
import { newMemberTable } from '../memberTable';

const SILENCE_MS = 2000;
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

const newTable = () => newMemberTable(() => SILENCE_MS);
type Table = ReturnType<typeof newTable>;

describe('members', () => {
  it.each<[string, (members: Table) => void, number, readonly string[]]>([
    ['one that was heard', (m) => m.recordHeartbeat(newMember('llm-1'), 0), 100, ['llm-1']],
    ['one that fell silent', (m) => m.recordHeartbeat(newMember('llm-1'), 0), SILENCE_MS + 1, []],
    [
      'one whose old answer was read after a pause',
      (m) => m.recordHeartbeat(newMember('llm-1'), 0),
      SILENCE_MS + 500,
      [],
    ],
    [
      'one that is leaving while the list still says live',
      (m) => {
        m.updateList([newVm('llm-1')]);
        m.recordHeartbeat(newMember('llm-1', { leaving: true }), 10);
      },
      20,
      [],
    ],
    [
      'one whose answer from before its announcement comes after it',
      (m) => {
        m.recordHeartbeat(newMember('llm-1', { leaving: true }), 10);
        m.recordHeartbeat(newMember('llm-1', { leaving: false }), 11);
      },
      20,
      [],
    ],
    [
      'one that the list calls leaving before it says so itself',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.updateList([newVm('llm-1', { state: 'leaving' })]);
      },
      20,
      [],
    ],
    [
      'one that came back as a new incarnation after leaving',
      (m) => {
        m.recordHeartbeat(newMember('llm-1', { leaving: true }), 10);
        m.recordHeartbeat(newMember('llm-1', { incarnation: 'second' }), 500);
      },
      600,
      ['llm-1'],
    ],
    [
      'one that could not be reached',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.recordFailure('llm-1', 20);
      },
      30,
      [],
    ],
    [
      'one that could not be reached and was heard again since',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.recordFailure('llm-1', 20);
        m.recordHeartbeat(newMember('llm-1'), 25);
      },
      30,
      ['llm-1'],
    ],
    [
      'one whose answer was asked for before the failure',
      (m) => {
        m.recordHeartbeat(newMember('llm-1'), 10);
        m.recordFailure('llm-1', 20);
        m.recordHeartbeat(newMember('llm-1'), 15);
      },
      30,
      [],
    ],
    [
      'one that the list does not show yet',
      (m) => {
        m.updateList([]);
        m.recordHeartbeat(newMember('llm-1'), 10);
      },
      20,
      ['llm-1'],
    ],
  ])('gives work to live members only: %s', (_, happen, nowMs, expected) => {
    const members = newTable();
    happen(members);

    expect(members.live(nowMs).map(({ vm }) => vm)).toEqual(expected);
  });

  it('agrees with a naive log of all that was heard', () => {
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
            const own = log.filter((event) => event.vm === name);
            const heard = own.filter((event) => event.kind !== 'fail').at(-1);
            const failed = own.filter((event) => event.kind === 'fail').at(-1);
            if (heard === undefined || nowMs - heard.atMs > SILENCE_MS) return false;
            const firstHeard = own.find((event) => event.kind !== 'fail');
            const wasKnown = failed !== undefined && (firstHeard?.atMs ?? 0) < failed.atMs;
            if (wasKnown && failed.atMs >= heard.atMs) return false;
            return !own.some((event) => event.kind === 'leave');
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

describe('contacts', () => {
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

  it('are everyone in a small fleet', () => {
    const fleet = getFleet(3, 8);

    expect(getContacts(fleet[0] as Vm, fleet, FANOUT)).toHaveLength(10);
  });

  it.each([30, 300, 3000])('are as many with %i sidecars, in every failure domain', (sidecars) => {
    const fleet = getFleet(20, sidecars);
    const contacts = getContacts(fleet[0] as Vm, fleet, FANOUT);

    expect(contacts).toHaveLength(12);
    const domains = contacts.filter(({ role }) => role === 'sidecar').map((vm) => vm.failureDomain);
    expect(new Set(domains).size).toBe(3);
  });

  it('change by at most one in each direction when one VM leaves the list', () => {
    const fleet = getFleet(20, 100);
    const before = getContacts(fleet[0] as Vm, fleet, FANOUT);
    before.forEach((gone) => {
      const after = getContacts(
        fleet[0] as Vm,
        fleet.filter((vm) => vm !== gone),
        FANOUT,
      );
      expect(before.filter((vm) => !after.includes(vm))).toEqual([gone]);
    });
  });

  it('make every sidecar known to several entries, from one side or the other', () => {
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
  ])('of %i are asked every %i ms', (contacts, expectedMs) => {
    expect(getHeartbeatIntervalMs(contacts, 500, 20)).toBe(expectedMs);
  });
});
