/** Exit codes of the program. */
export const EXIT_CODE = { ok: 0, failed: 1, usage: 2, conflict: 3, unavailable: 4 } as const;
