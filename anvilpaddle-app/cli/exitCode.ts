/**
 * Exit codes of the program. `conflict`: another change came first. `unavailable`: nothing happened,
 * come back later. `unknown`: the change may have taken effect; ask with `operation show`.
 */
export const EXIT_CODE = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
  unknown: 5,
} as const;
export type ExitCode = (typeof EXIT_CODE)[keyof typeof EXIT_CODE];
