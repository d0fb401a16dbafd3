/** Log lines about the limits that upstreams name, and the requests that they get. */
import type { Clock, Logger } from '@anvilpaddle/common';
import {
  UPSTREAM_LIMIT_WINDOW_MS,
  type ColdState,
  type UpstreamLimit,
  type UpstreamLimits,
} from '@anvilpaddle/decisions';

/** Largest number of upstreams in the lines of one window. */
const MAX_LINES_PER_WINDOW = 60;

/** Logs that the limit of an upstream has begun, changed or ended. */
export const logLimitChange = (
  log: Logger,
  upstream: string,
  { requestsPerSecond }: UpstreamLimit,
): void => {
  log.info({ upstream, requestsPerSecond: requestsPerSecond ?? null }, 'upstream limit');
};

/** Logs that an upstream has become cold. */
export const logCold = (
  log: Logger,
  { incarnation, untilMs, requestsPerSecond }: ColdState,
  nowMs: number,
): void => {
  const forMs = Math.round(untilMs - nowMs);
  log.info(
    { upstream: incarnation, forMs, requestsPerSecond: requestsPerSecond ?? null },
    'upstream cold',
  );
};

/** Logs that an upstream has become warm. */
export const logWarm = (log: Logger, upstream: string): void => {
  log.info({ upstream }, 'upstream warm');
};

/** Starts to log, once a window, what each upstream with a limit has got. */
export const startLimitLog = (limits: UpstreamLimits, clock: Clock, log: Logger): void => {
  clock.every(UPSTREAM_LIMIT_WINDOW_MS, () =>
    [...limits.takeSends(clock.monotonic())]
      .slice(0, MAX_LINES_PER_WINDOW)
      .forEach(([upstream, sends]) => log.info({ upstream, ...sends }, 'sent to limited upstream')),
  );
};
