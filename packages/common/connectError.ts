/** Tells errors on connecting from errors on an established connection. */
const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';
const CONNECT_SYSCALL = 'connect';

/** Whether an error on connecting means that no process listens at the address. */
export const isConnectionRefused = (error: unknown): boolean =>
  typeof error === 'object' && error !== null && 'code' in error && error.code === 'ECONNREFUSED';

/**
 * Whether a request failed before its connection was established, so that the receiver has seen
 * nothing of it. The error code alone does not tell: EHOSTUNREACH may also end an established
 * connection.
 */
export const isConnectError = (error: unknown): boolean => {
  if (typeof error !== 'object' || error === null) return false;
  if ('code' in error && error.code === CONNECT_TIMEOUT_CODE) return true;
  return 'syscall' in error && error.syscall === CONNECT_SYSCALL;
};
