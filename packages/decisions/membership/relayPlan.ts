/** Decides which gateways pass datagrams on in the failure domains of their receivers. */
import { getHash } from '@anvilpaddle/common';

/** A gateway that gets datagrams. */
export interface Receiver {
  readonly incarnation: string;
  /** Undefined for a gateway of an earlier version, which relays nothing. */
  readonly failureDomain: string | undefined;
}

/** How one datagram reaches all receivers. */
export interface RelayPlan<T extends Receiver> {
  /** Receivers that get the datagram from its sender. */
  readonly direct: readonly T[];
  /** Receivers that also pass it on to the others in their failure domain. */
  readonly relays: readonly T[];
}

/**
 * Number of relays that a sender uses in turn in each failure domain: one that is frozen, cut off or
 * dead costs every second datagram until it is no longer seen, and none of those in between.
 */
const RELAYS_IN_TURN = 2;

const groupByFailureDomain = <T extends Receiver>(receivers: readonly T[]): T[][] => {
  const groups = new Map<string | undefined, T[]>();
  receivers.forEach((receiver) => {
    const group = groups.get(receiver.failureDomain) ?? [];
    group.push(receiver);
    groups.set(receiver.failureDomain, group);
  });
  return [...groups.values()];
};

/** The receivers that rendezvous hashing prefers for a sender, so that senders spread over all. */
const getPreferred = <T extends Receiver>(sender: string, receivers: readonly T[]): T[] =>
  receivers
    .map((receiver) => ({ receiver, weight: getHash(`${sender}\n${receiver.incarnation}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, RELAYS_IN_TURN)
    .map(({ receiver }) => receiver);

/**
 * Plans the datagram number `turn` of a sender. Each other failure domain gets it once, through a
 * relay; the sender's own failure domain, and gateways that can't relay, get it directly. Without a
 * receiver that is seen, a failure domain gets it directly too.
 */
export const getRelayPlan = <T extends Receiver>(
  sender: Receiver,
  receivers: readonly T[],
  isSeen: (receiver: T) => boolean,
  turn: number,
): RelayPlan<T> => {
  const direct: T[] = [];
  const relays: T[] = [];
  groupByFailureDomain(receivers).forEach((group) => {
    const failureDomain = group[0]?.failureDomain;
    const isReachedDirectly =
      failureDomain === undefined || failureDomain === sender.failureDomain || group.length === 1;
    const candidates = isReachedDirectly
      ? []
      : getPreferred(sender.incarnation, group.filter(isSeen));
    const relay = candidates[turn % candidates.length];
    if (relay === undefined) direct.push(...group);
    else relays.push(relay);
  });
  return { direct, relays };
};
