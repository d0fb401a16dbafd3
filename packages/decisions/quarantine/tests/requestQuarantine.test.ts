import { loadHashing } from '@anvilpaddle/common';
import { newInputQuarantine, type InputQuarantine, type LostInput } from '../inputQuarantine';
import { newRequestDigest, type RequestContent, type RequestDigest } from '../requestDigest';
import { PART_STATE } from '../types';

const REQUEST: RequestContent = {
  method: 'POST',
  host: 'site.example',
  url: '/status?of=12',
  team: 'one',
  body: Buffer.from('question'),
};

/** Attempt that was lost soon after its start. */
const LOST: LostInput = {
  promptParts: [],
  digest: undefined,
  runMs: 300,
  concurrency: 3,
  hasOutlivedStart: false,
};

let digest: RequestDigest;

beforeAll(async () => {
  await loadHashing();
  digest = newRequestDigest(REQUEST);
});

/** Records crashes under a request at upstreams of these names, a second apart. */
const crash = (
  quarantine: InputQuarantine,
  upstreams: readonly string[],
  lost: RequestDigest = digest,
  promptParts: readonly string[] = [],
  fromMs = 0,
): void =>
  upstreams.forEach((upstream, index) =>
    quarantine.recordCrash(
      upstream,
      [{ ...LOST, promptParts, digest: lost.get() }],
      fromMs + index * 1000,
    ),
  );

const getState = (
  quarantine: InputQuarantine,
  of: RequestDigest = digest,
  promptParts: readonly string[] = [],
): string => quarantine.assess({ promptParts, digest: of }, 10_000).state;

/** Tells each gateway what the others know. */
const gossip = (gateways: readonly InputQuarantine[], nowMs: number): void => {
  const reports = gateways.map(({ requests }) => requests.getReports(nowMs));
  gateways.forEach(({ requests }, receiver) =>
    reports.forEach((report, sender) => {
      if (sender !== receiver) requests.updatePeer(`gateway-${sender}`, report, nowMs);
    }),
  );
};

describe('the digest of a request', () => {
  it('is the same for equal content', () => {
    expect(newRequestDigest({ ...REQUEST, body: Buffer.from('question') }).get()).toBe(
      digest.get(),
    );
  });

  it.each([
    { method: 'PUT' },
    { host: 'other.example' },
    { url: '/status?of=13' },
    { team: 'two' },
    { team: undefined },
    { body: Buffer.from('Question') },
    { body: Buffer.from('questions') },
    { body: Buffer.alloc(0) },
  ])('differs with %j', (other) => {
    expect(newRequestDigest({ ...REQUEST, ...other }).get()).not.toBe(digest.get());
  });

  it('does not read a body of another length than that of a known request', () => {
    const quarantine = newInputQuarantine();
    crash(quarantine, ['u1', 'u2', 'u3']);
    const { outline } = newRequestDigest({ ...REQUEST, body: Buffer.from('longer question') });
    const get = jest.fn(() => '');

    expect(getState(quarantine, { outline, get })).toBe(PART_STATE.clear);
    expect(get).not.toHaveBeenCalled();
  });
});

describe('a quarantine of requests', () => {
  it.each([
    [1, PART_STATE.clear],
    [2, PART_STATE.suspect],
    [3, PART_STATE.quarantined],
    [20, PART_STATE.quarantined],
  ])('finds a request after %d crashes %s', (crashes, state) => {
    const quarantine = newInputQuarantine();
    crash(
      quarantine,
      Array.from({ length: crashes }, (_, index) => `u${index}`),
    );

    expect(getState(quarantine)).toBe(state);
  });

  it('counts crashes that two gateways saw once, and those of all gateways together', () => {
    const gateways = [newInputQuarantine(), newInputQuarantine(), newInputQuarantine()] as const;
    crash(gateways[0], ['u1']);
    crash(gateways[1], ['u1', 'u2']);
    gossip(gateways, 2000);
    expect(gateways.map((gateway) => getState(gateway))).toEqual(Array(3).fill('suspect'));
    crash(gateways[2], ['u3']);
    gossip(gateways, 3000);

    expect(gateways.map((gateway) => getState(gateway))).toEqual(Array(3).fill('quarantined'));
  });

  it('hears of crashes from any gateway that knows them, whichever datagrams are lost', () => {
    const [a, b, c] = [newInputQuarantine(), newInputQuarantine(), newInputQuarantine()];
    crash(a, ['u1', 'u2', 'u3']);
    gossip([a, b], 3000);
    gossip([b, c], 60_000);

    expect(getState(c)).toBe(PART_STATE.quarantined);
  });

  it('lets an answer at any gateway make up for all crashes before it, and counts anew', () => {
    const gateways = [newInputQuarantine(), newInputQuarantine()] as const;
    crash(gateways[0], ['u1', 'u2', 'u3']);
    gossip(gateways, 3000);
    gateways[1].recordAnswer(digest, 3100);
    gossip(gateways, 3200);
    expect(gateways.map((gateway) => getState(gateway))).toEqual(['clear', 'clear']);
    gateways[0].recordAnswer(digest, 3300);
    gossip(gateways, 3500);
    crash(gateways[0], ['u4', 'u5'], digest, [], 3600);
    gossip(gateways, 5000);
    expect(gateways.map((gateway) => getState(gateway))).toEqual(['suspect', 'suspect']);
    crash(gateways[0], ['u6'], digest, [], 5600);
    gossip(gateways, 6000);

    expect(gateways.map((gateway) => getState(gateway))).toEqual(['quarantined', 'quarantined']);
  });

  it('holds a request that crashes upstreams although it was answered long before', () => {
    const quarantine = newInputQuarantine();
    for (let answers = 0; answers < 1000; answers += 1) quarantine.recordAnswer(digest, answers);
    crash(quarantine, ['u1', 'u2', 'u3']);

    expect(getState(quarantine)).toBe(PART_STATE.quarantined);
  });

  it('keeps a quarantined request while many others are aboard at crashes', () => {
    const quarantine = newInputQuarantine();
    crash(quarantine, ['u1', 'u2', 'u3']);
    for (let index = 0; index < 2000; index += 1) {
      crash(quarantine, ['u4'], newRequestDigest({ ...REQUEST, url: `/${index}` }));
    }

    expect(getState(quarantine)).toBe(PART_STATE.quarantined);
  });

  it('clears parts of prompts of the crashes that a request explains, until it doesn’t', () => {
    const quarantine = newInputQuarantine();
    const parts = ['subject'];
    for (let served = 0; served < 200; served += 1) {
      quarantine.parts.recordSurvival(['other'], 300, 0);
    }
    crash(quarantine, ['u1', 'u2', 'u3', 'u4', 'u5'], digest, parts);
    const other = newRequestDigest({ ...REQUEST, url: '/other' });
    expect(getState(quarantine, other, parts)).toBe(PART_STATE.clear);
    crash(quarantine, ['u6'], other, parts);

    expect(getState(quarantine, other, parts)).toBe(PART_STATE.quarantined);
  });
});
