/** Exit codes that tell scripts how a command ended. */
/**
 * Exit codes of the command line. `conflict`: another change was accepted first. `unavailable`: the
 * command had no effect and can be retried later. `unknown`: the change may have taken effect;
 * `operation show` tells its outcome.
 */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
  unknown: 5,
} as const;
/** Value of `EXIT_CODE`. */
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
