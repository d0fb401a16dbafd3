/** Filter that logs requests and sends error responses. */
import {
  breakOffResponse,
  HISTOGRAM,
  SERVICE_CLASS,
  newFailure,
  sendJson,
} from '@anvilpaddle/common';
import { getErrorBody, getErrorHeaders, ERROR_STATUS, newApiError } from '@anvilpaddle/protocol';
import type { EntryDependencies, Filter } from '../types';

const NO_TEAM = 'none';

/** Sends error responses, and logs each request and records its metrics. */
export const newRequestLogFilter = (dependencies: EntryDependencies): Filter => ({
  name: 'requestLog',
  apply: async (exchange, next) => {
    const { log, metrics, clock } = dependencies;
    const result = await next().catch((error: unknown) => {
      log.error({ err: error, request: exchange.id }, 'request failed');
      const { run } = exchange.outcome;
      return newFailure(newApiError('internal', 'an error inside the entry', { run }));
    });
    const team = exchange.team ?? NO_TEAM;
    if (!result.ok) {
      // A request whose caller closed the connection does not count as refused.
      if (result.error.code !== 'caller_gone') metrics.count('refusals', team, result.error.code);
      if (exchange.response.headersSent) breakOffResponse(exchange.response);
      else {
        sendJson(
          exchange.response,
          ERROR_STATUS[result.error.code],
          getErrorBody(result.error),
          getErrorHeaders(result.error),
        );
      }
    }
    const totalMs = clock.monotonic() - exchange.startedMs;
    metrics.record(HISTOGRAM.total, team, SERVICE_CLASS.online, totalMs);
    if (exchange.outcome.firstTokenMs !== undefined) {
      const firstTokenMs = exchange.outcome.firstTokenMs - exchange.startedMs;
      metrics.record(HISTOGRAM.firstToken, team, SERVICE_CLASS.online, firstTokenMs);
    }
    log.info(
      {
        request: exchange.id,
        team,
        route: exchange.route?.name ?? exchange.action?.name,
        upstream: exchange.outcome.upstream,
        attempts: exchange.outcome.attempts,
        run: result.ok ? exchange.outcome.run : result.error.run,
        outcome: result.ok ? 'answered' : result.error.code,
        status: exchange.response.statusCode,
        totalMs: Math.round(totalMs),
      },
      'request ended',
    );
    return result;
  },
});
