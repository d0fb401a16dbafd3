/** Waiting for a condition in tests. */
const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 30_000;

/** Polls until the check returns a value other than false; the timeout error gives the description. */
export const waitFor = async <T>(
  description: string,
  check: () => Promise<T | undefined | false> | T | undefined | false,
  timeoutMs: number = DEFAULT_TIMEOUT_MS,
): Promise<T> => {
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await check();
    if (value !== undefined && value !== false) return value;
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting for: ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
};
