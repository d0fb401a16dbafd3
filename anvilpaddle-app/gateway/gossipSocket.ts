/** UDP socket over which gateways gossip; counts what it sends. */
import { createSocket } from 'node:dgram';
import { getErrorMessage, type Address, type Logger } from '@anvilpaddle/common';
import type { Gateway } from './gatewayList';

/** Why a datagram is sent. */
export const DATAGRAM_PURPOSE = {
  /** It has this gateway's state. */
  own: 'own',
  /** It has the state of a gateway in another failure domain, and is passed on. */
  relayed: 'relayed',
} as const;
/** One of the purposes. */
export type DatagramPurpose = (typeof DATAGRAM_PURPOSE)[keyof typeof DATAGRAM_PURPOSE];

/** Counters of the datagrams. */
export interface GossipMetrics {
  /** Counts a datagram that was sent. */
  countDatagram(purpose: DatagramPurpose, leavesFailureDomain: boolean, bytes: number): void;
}

/** A socket that is bound to this gateway's address. */
export interface GossipSocket {
  send(content: Buffer, to: Gateway, purpose: DatagramPurpose): void;
  close(): void;
}

/** Takes the place of the name lookup at each send: peers are known by their IPv4 addresses. */
const skipLookup = (
  address: string,
  _: unknown,
  callback: (error: null, address: string, family: number) => void,
): void => callback(null, address, 4);

/** Opens the socket; `onDatagram` is called for each datagram that arrives. */
export const newGossipSocket = (
  self: Gateway,
  onDatagram: (content: Buffer, sender: Address) => void,
  metrics: GossipMetrics,
  log: Logger,
): GossipSocket => {
  const socket = createSocket({ type: 'udp4', lookup: skipLookup });
  let hasFailed = false;
  socket.on('message', (content, { address, port }) =>
    onDatagram(content, { host: address, port }),
  );
  socket.on('error', (error) => {
    if (!hasFailed) log.warn({ reason: getErrorMessage(error) }, 'datagram socket error');
    hasFailed = true;
  });
  socket.bind(self.address.port, self.address.host);
  return {
    send: (content, { address: { host, port }, failureDomain }, purpose) => {
      metrics.countDatagram(purpose, failureDomain !== self.failureDomain, content.length);
      socket.send(content, port, host);
    },
    close: () => socket.close(),
  };
};
