/** Tells errors on connecting from errors on an established connection. */
const CONNECT_TIMEOUT = 'UND_ERR_CONNECT_TIMEOUT';
const CONNECT_CALL = 'connect';

/**
 * Whether a request failed before its connection was established, so that the receiver has seen
 * nothing of it. The code alone does not tell: EHOSTUNREACH may also end an established connection.
 */
export const isConnectError = (fault: unknown): boolean => {
  if (typeof fault !== 'object' || fault === null) return false;
  if ('code' in fault && fault.code === CONNECT_TIMEOUT) return true;
  return 'syscall' in fault && fault.syscall === CONNECT_CALL;
};
