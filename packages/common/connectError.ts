const CONNECT_TIMEOUT = 'UND_ERR_CONNECT_TIMEOUT';
const CONNECT_CALL = 'connect';

/**
 * Whether a request failed before its connection stood, so that the other side has seen nothing.
 * The code alone does not tell: EHOSTUNREACH may also end a connection that was in use.
 */
export const isConnectError = (fault: unknown): boolean => {
  if (typeof fault !== 'object' || fault === null) return false;
  if ('code' in fault && fault.code === CONNECT_TIMEOUT) return true;
  return 'syscall' in fault && fault.syscall === CONNECT_CALL;
};
