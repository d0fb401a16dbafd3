const POLL_MS = 20;
const LIMIT_MS = 30_000;

/** Waits until the check gives a value; fails with the description when it never does. */
export const waitFor = async <T>(
  description: string,
  check: () => Promise<T | undefined | false> | T | undefined | false,
  limitMs: number = LIMIT_MS,
): Promise<T> => {
  const endMs = performance.now() + limitMs;
  for (;;) {
    const value = await check();
    if (value !== undefined && value !== false) return value;
    if (performance.now() > endMs) throw new Error(`never seen: ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};
