import { loadHashing } from '@anvilpaddle/common';
import { getRelayPlan, type Receiver } from '../relayPlan';

beforeAll(loadHashing);

const newFleet = (gateways: number, failureDomains: number): Receiver[] =>
  Array.from({ length: gateways }, (_, index) => ({
    incarnation: `gw_${index}`,
    failureDomain: `zone-${index % failureDomains}`,
  }));

/** Plan of a gateway's datagram to all others of its fleet. */
const getPlan = (fleet: readonly Receiver[], sender: Receiver, turn = 0, unseen?: Receiver) =>
  getRelayPlan(
    sender,
    fleet.filter((receiver) => receiver !== sender),
    (receiver) => receiver !== unseen,
    turn,
  );

const countCrossing = (fleet: readonly Receiver[], sender: Receiver): number => {
  const { direct, relays } = getPlan(fleet, sender);
  return [...direct, ...relays].filter((r) => r.failureDomain !== sender.failureDomain).length;
};

describe('the plan of a datagram', () => {
  it.each([
    [8, 2],
    [9, 3],
    [38, 4],
    [88, 5],
    [300, 5],
  ])('crosses to each other failure domain once, with %i gateways in %i', (count, domains) => {
    const fleet = newFleet(count, domains);

    expect(fleet.map((sender) => countCrossing(fleet, sender))).toEqual(
      fleet.map(() => domains - 1),
    );
  });

  it('reaches every gateway once, by its sender or by a relay of its failure domain', () => {
    const fleet = newFleet(88, 5);
    fleet.forEach((sender) => {
      const { direct, relays } = getPlan(fleet, sender);
      const relayed = relays.flatMap((relay) =>
        fleet.filter(({ failureDomain }) => failureDomain === relay.failureDomain),
      );

      expect(new Set([...direct, ...relayed]).size).toBe(fleet.length - 1);
      expect(direct.length + relayed.length).toBe(fleet.length - 1);
    });
  });

  it('spreads the work of relays over all gateways', () => {
    const fleet = newFleet(88, 5);
    const counts = new Map<Receiver, number>();
    [0, 1].forEach((turn) =>
      fleet
        .flatMap((sender) => getPlan(fleet, sender, turn).relays)
        .forEach((relay) => counts.set(relay, (counts.get(relay) ?? 0) + 1)),
    );

    // 88 senders with 4 relays and 2 turns each make 8 for a gateway in the mean.
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(24);
  });

  it('uses two relays in turn, and another one for a relay that is not seen', () => {
    const fleet = newFleet(9, 3);
    const [sender] = fleet as [Receiver];
    const plans = [0, 1, 2].map((turn) => getPlan(fleet, sender, turn).relays);
    const [first] = plans[0] as [Receiver];
    const without = [0, 1].flatMap((turn) => getPlan(fleet, sender, turn, first).relays);

    expect(plans[2]).toEqual(plans[0]);
    expect(plans[1]).not.toEqual(plans[0]);
    expect(without).not.toContain(first);
  });

  it('reaches gateways directly that can’t relay, or of which none is seen', () => {
    const fleet = newFleet(9, 3);
    const [sender, ...others] = fleet as [Receiver, ...Receiver[]];
    const earlier = others.map(({ incarnation }) => ({ incarnation, failureDomain: undefined }));

    expect(getRelayPlan(sender, earlier, () => true, 0)).toEqual({ direct: earlier, relays: [] });
    expect(getRelayPlan(sender, others, () => false, 0).relays).toEqual([]);
    expect(getRelayPlan(sender, others, () => false, 0).direct).toHaveLength(others.length);
  });
});
