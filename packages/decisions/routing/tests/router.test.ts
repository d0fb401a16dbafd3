import fc from 'fast-check';
import { loadHashing, newSeededRandom } from '@anvilpaddle/common';
import type { Load, Member } from '@anvilpaddle/protocol';
import { AffinityRouter } from '../affinityRouter';
import { newHealth } from '../health';
import { getPromptPrefixHash } from '../promptPrefix';
import { newUtilization } from '../utilization';
import type { RoutingCriteria, Router } from '../router';

const SEED = 20261203;

const newMember = (index: number, change: Partial<Member> = {}): Member => ({
  vm: `llm-${index}`,
  address: `llm-${index}:9000`,
  role: 'sidecar',
  failureDomain: `fd-${index % 3}`,
  incarnation: 'first',
  leaving: false,
  group: 'llm',
  models: ['small-chat'],
  load: { running: 0, waiting: 0, slots: 4 },
  revision: 1,
  ...change,
});

const newCriteria = (change: Partial<RoutingCriteria> = {}): RoutingCriteria => ({
  group: 'llm',
  model: 'small-chat',
  failureDomain: 'fd-0',
  triedVms: new Set(),
  ...change,
});

const newMembers = (size: number): Member[] =>
  Array.from({ length: size }, (_, index) => newMember(index));

/** Fraction of the picks that each VM gets. */
const getShares = (
  router: Router,
  members: readonly Member[],
  criteria: RoutingCriteria,
  picks: number,
) => {
  const shares = new Map<string, number>();
  for (let index = 0; index < picks; index += 1) {
    const vm = router.pick(members, criteria)?.vm ?? 'none';
    shares.set(vm, (shares.get(vm) ?? 0) + 1 / picks);
  }
  return shares;
};

describe('the router', () => {
  let nowMs = 0;
  const newRouter = (): Router => new AffinityRouter(newSeededRandom(SEED), () => nowMs);

  beforeAll(loadHashing);
  beforeEach(() => {
    nowMs = 0;
  });

  it.each<[string, Partial<Member>]>([
    ['is leaving', { leaving: true }],
    ['is of another group', { group: 'checkin' }],
    ['has not confirmed the model', { models: ['other'] }],
    ['is an entry', { role: 'entry' }],
  ])('never picks one that %s', (_, change) => {
    const members = [newMember(0, change), newMember(1)];
    const shares = getShares(newRouter(), members, newCriteria(), 200);

    expect([...shares.keys()]).toEqual(['llm-1']);
  });

  it('picks nothing when all have been tried', () => {
    const triedVms = new Set(['llm-0', 'llm-1', 'llm-2']);

    expect(newRouter().pick(newMembers(3), newCriteria({ triedVms }))).toBeUndefined();
  });

  it('stays in the failure domain while that has a free slot, and leaves it otherwise', () => {
    const full: Load = { running: 4, waiting: 2, slots: 4 };
    const members = newMembers(6);
    const withFullDomain = members.map((member) =>
      member.failureDomain === 'fd-0' ? { ...member, load: full } : member,
    );

    expect([...getShares(newRouter(), members, newCriteria(), 200).keys()].sort()).toEqual([
      'llm-0',
      'llm-3',
    ]);
    expect(getShares(newRouter(), withFullDomain, newCriteria(), 200).size).toBeGreaterThan(2);
  });

  it('spreads a burst between two reports instead of sending it all to the idlest upstream', () => {
    const busy: Load = { running: 1, waiting: 0, slots: 4 };
    const members = newMembers(5).map((member, index) =>
      index === 0 ? member : { ...member, failureDomain: 'fd-0', load: busy },
    );
    const router = newRouter();
    const counts = new Map<string, number>();
    for (let index = 0; index < 20; index += 1) {
      const vm = router.pick(members, newCriteria())?.vm ?? '';
      router.started(vm);
      counts.set(vm, (counts.get(vm) ?? 0) + 1);
    }

    expect(Math.max(...counts.values())).toBeLessThanOrEqual(6);
  });

  it('keeps a prefix on one upstream of any failure domain until that is more loaded', () => {
    const halfFull: Load = { running: 2, waiting: 0, slots: 4 };
    const members = newMembers(6).map((member) => ({ ...member, load: halfFull }));
    const criteria = newCriteria({ prefix: 'committee' });
    const router = newRouter();
    const owner = router.pick(members, criteria)?.vm ?? '';

    expect(getShares(router, members, criteria, 50)).toEqual(new Map([[owner, expect.closeTo(1)]]));
    router.started(owner);
    expect(router.pick(members, criteria)?.vm).not.toBe(owner);
  });

  it('skips an upstream that fails fast, although it looks idle, and restores it gradually', () => {
    const members = newMembers(4).map((member) => ({ ...member, failureDomain: 'fd-0' }));
    const router = newRouter();
    for (let index = 0; index < 5; index += 1) {
      router.started('llm-2');
      router.ended('llm-2', 'failed', 1);
    }
    const getShare = (): number =>
      getShares(router, members, newCriteria(), 2000).get('llm-2') ?? 0;

    expect(getShare()).toBe(0);
    nowMs = 5001;
    const firstShare = getShare();
    expect(firstShare).toBeGreaterThan(0);
    expect(firstShare).toBeLessThan(0.1);
    nowMs = 16_000;
    expect(getShare()).toBeGreaterThan(0.15);
  });

  it('skips no upstream when most of them fail', () => {
    const members = newMembers(4).map((member) => ({ ...member, failureDomain: 'fd-0' }));
    const router = newRouter();
    ['llm-0', 'llm-1', 'llm-2'].forEach((vm) => {
      for (let index = 0; index < 5; index += 1) router.ended(vm, 'failed', 1);
    });

    expect(getShares(router, members, newCriteria(), 500).size).toBe(4);
  });
});

describe('health', () => {
  it('ejects one that is far slower than the others', () => {
    const health = newHealth();
    for (let index = 0; index < 20; index += 1) {
      ['llm-0', 'llm-1', 'llm-2'].forEach((vm) => health.record(vm, 'ok', 50, index));
      health.record('llm-3', 'ok', 400, index);
    }

    expect(['llm-0', 'llm-1', 'llm-2', 'llm-3'].map((vm) => health.weight(vm, 20))).toEqual([
      1, 1, 1, 0,
    ]);
  });

  it('ejects for longer each time, and ignores refusals', () => {
    const health = newHealth();
    const fail = (nowMs: number): void => {
      for (let index = 0; index < 5; index += 1) health.record('llm-0', 'failed', 1, nowMs);
    };
    for (let index = 0; index < 50; index += 1) health.record('llm-1', 'refused', 1, 0);
    fail(0);

    expect(health.weight('llm-1', 1)).toBe(1);
    expect(health.weight('llm-0', 4999)).toBe(0);
    expect(health.weight('llm-0', 5000)).toBeGreaterThan(0);
    fail(5000);
    expect(health.weight('llm-0', 14_999)).toBe(0);
    expect(health.weight('llm-0', 15_000)).toBeGreaterThan(0);
  });
});

describe('utilization', () => {
  it('agrees with a naive count since the last report', () => {
    const eventArbitrary = fc.oneof(
      fc.record({ kind: fc.constantFrom('started' as const, 'ended' as const) }),
      fc.record({ kind: fc.constant('report' as const), running: fc.nat({ max: 8 }) }),
    );
    fc.assert(
      fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
        const utilization = newUtilization();
        let member = newMember(0);
        utilization.get(member);
        events.forEach((event, index) => {
          if (event.kind === 'report') {
            const load = { running: event.running, waiting: 0, slots: 4 };
            member = { ...member, load };
          } else utilization[event.kind](member.vm);
          const lastReport = events.slice(0, index + 1).findLastIndex((e) => e.kind === 'report');
          const eventsSince = events.slice(lastReport + 1, index + 1);
          const netStarted =
            eventsSince.filter((e) => e.kind === 'started').length -
            eventsSince.filter((e) => e.kind === 'ended').length;
          const expected = Math.max(0, (member.load?.running ?? 0) + netStarted) / 4;
          expect(utilization.get(member)).toBe(expected);
        });
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

describe('the prefix of a prompt', () => {
  const getBody = (system: string, user: string) => ({
    model: 'small-chat',
    messages: [
      { role: 'system', content: system },
      { role: 'user', content: user },
    ],
  });
  const LONG_PROMPT = 'You draft eligibility summaries in plain Spanish. '.repeat(20);

  beforeAll(loadHashing);

  it('is shared by questions under one long system prompt', () => {
    expect(getPromptPrefixHash(getBody(LONG_PROMPT, 'one'))).toBe(
      getPromptPrefixHash(getBody(LONG_PROMPT, 'two')),
    );
  });

  it('differs between models and is not made for short prompts', () => {
    const other = { ...getBody(LONG_PROMPT, 'one'), model: 'large-chat' };

    expect(getPromptPrefixHash(other)).not.toBe(getPromptPrefixHash(getBody(LONG_PROMPT, 'one')));
    expect(getPromptPrefixHash(getBody('Be brief.', 'one'))).toBeUndefined();
  });
});
