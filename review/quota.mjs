/** Check of the rule QUOTA over all windows. */

const WINDOW_MS = 5000;
const OVERRUN = 0.1;
const SLACK = 20;

/** Most requests of a tenant that may be sent and run in one window. */
export const getBound = ({ rate_per_s: rate, burst }) =>
  ((rate * WINDOW_MS) / 1000 + burst) * (1 + OVERRUN) + SLACK;

/** Largest number of requests that were both sent and run in one window, with the window's start. */
export const getWorstWindow = (attempts, runs) => {
  const ran = runs
    .map(({ requestId, ranMs }) => ({ ranMs, sentMs: attempts.get(requestId)?.sentMs }))
    .filter(({ sentMs }) => sentMs !== undefined);
  return ran.reduce(
    (worst, { sentMs: startMs }) => {
      const count = ran.filter(
        ({ sentMs, ranMs }) => sentMs >= startMs && ranMs <= startMs + WINDOW_MS,
      ).length;
      return count > worst.count ? { count, startMs } : worst;
    },
    { count: 0, startMs: 0 },
  );
};
