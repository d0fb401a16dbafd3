/** Asks whether anything still listens at an address, by a connection that carries no request. */
import { createConnection } from 'node:net';
import { isConnectionRefused, type Address, type Clock } from '@anvilpaddle/common';

/** Result of a probe. */
export const PROBE_RESULT = {
  accepted: 'accepted',
  /** The VM answers, but no process listens at the address. */
  refused: 'refused',
  /** Nothing answers, or the path to the VM is broken. */
  unknown: 'unknown',
} as const;
/** One of the results. */
export type ProbeResult = (typeof PROBE_RESULT)[keyof typeof PROBE_RESULT];

/** Time after which a probe without an answer ends. */
const PROBE_TIMEOUT_MS = 250;

/** Connects to an address and closes the connection at once. */
export const probeConnection = ({ host, port }: Address, clock: Clock): Promise<ProbeResult> =>
  new Promise((resolve) => {
    const socket = createConnection({ host, port });
    const timer = clock.after(PROBE_TIMEOUT_MS, () => socket.destroy());
    const finish = (result: ProbeResult): void => {
      timer.cancel();
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish(PROBE_RESULT.accepted));
    socket.on('error', (error) =>
      finish(isConnectionRefused(error) ? PROBE_RESULT.refused : PROBE_RESULT.unknown),
    );
    socket.once('close', () => resolve(PROBE_RESULT.unknown));
  });
