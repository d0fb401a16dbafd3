import { Writable } from 'node:stream';
import { ManualClock, newFailure, newMetrics, newSilentLogger } from '@anvilpaddle/common';
import { newApiError, type ErrorCode } from '@anvilpaddle/protocol';
import type { EntryDependencies, Exchange } from '../entry/types';
import { newRequestLogFilter } from '../entry/filters/requestLog';

describe('the request log filter', () => {
  it.each([
    ['overloaded', { 'refusals|team|overloaded': 1 }],
    ['caller_gone', {}],
  ] as const)(
    'counts refused requests, but none whose caller closed the connection: %s',
    async (code: ErrorCode, counts) => {
      const metrics = newMetrics(undefined);
      const services = { metrics, clock: new ManualClock(), log: newSilentLogger() };
      const response = new Writable({ write: (_chunk, _encoding, done) => done() });
      const exchange = {
        team: 'team',
        startedMs: 0,
        outcome: {},
        response: Object.assign(response, { writeHead: () => response }),
      } as unknown as Exchange;
      const filter = newRequestLogFilter(services as unknown as EntryDependencies);
      await filter.apply(exchange, async () => newFailure(newApiError(code, 'refused')));

      expect(metrics.counts()).toEqual(counts);
    },
  );
});
