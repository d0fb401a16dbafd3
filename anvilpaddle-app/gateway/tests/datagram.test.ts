import { getRelayedContent, markForRelay, parseDatagram } from '../datagram';

const DATAGRAM = {
  from: 'gw_1',
  vm: 'vm-1',
  ageMs: 5,
  loads: [],
  spent: [],
  running: [],
  waiting: [],
};

const parse = (overrides: object): unknown =>
  parseDatagram(Buffer.from(JSON.stringify({ ...DATAGRAM, ...overrides })));

describe('a datagram', () => {
  it.each([
    ['its sender’s address', { address: { host: '10.1.0.31', port: 7780 } }],
    ['no address, as of an earlier version', {}],
  ])('with %s is read', (_, overrides) => {
    expect(parse(overrides)).toMatchObject(DATAGRAM);
  });

  it.each([
    ['a name for an address', { address: { host: 'gateway.example', port: 7780 } }],
    ['a host that is no text', { address: { host: 5, port: 7780 } }],
    ['no port', { address: { host: '10.1.0.31' } }],
    ['a port beyond the last one', { address: { host: '10.1.0.31', port: 70_000 } }],
    ['an age that is no number', { ageMs: 'old' }],
    ['loads that are no list', { loads: {} }],
  ])('with %s is dropped', (_, overrides) => {
    expect(parse(overrides)).toBeUndefined();
  });

  it('that is cut is dropped, whether or not it is marked for a relay', () => {
    const cut = Buffer.from(JSON.stringify(DATAGRAM)).subarray(0, -3);

    expect(parseDatagram(cut)).toBeUndefined();
    expect(parseDatagram(getRelayedContent(markForRelay(cut)) ?? cut)).toBeUndefined();
  });

  it('is the same after a relay', () => {
    const content = Buffer.from(JSON.stringify(DATAGRAM));

    expect(getRelayedContent(content)).toBeUndefined();
    expect(getRelayedContent(markForRelay(content))).toEqual(content);
  });
});
