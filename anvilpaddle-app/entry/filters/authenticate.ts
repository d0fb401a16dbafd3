/** Filter that authenticates callers and operators. */
import { timingSafeEqual } from 'node:crypto';
import { getEffectiveSettings, type NamedApiKey } from '@anvilpaddle/decisions';
import { getSecretHash, newFailure, type Result } from '@anvilpaddle/common';
import { getErrorBody, newApiError, type ApiError } from '@anvilpaddle/protocol';
import { isKeyValid, newKeysUnconfirmedError } from '../../controllers/keyWatch';
import { getBearerToken, stripCredentials } from '../credentials';
import type { EntryDependencies, Exchange, Filter, Next } from '../types';

const EVENT_STREAM_TYPE = 'text/event-stream';
const FLUSH_TIMEOUT_MS = 500;

const getDigest = (hash: string): Buffer => Buffer.from(hash, 'hex');

const rejectKey = (message: string): Result<void, ApiError> =>
  newFailure(newApiError('invalid_key', message));

const isEventStream = (exchange: Exchange): boolean =>
  String(exchange.response.getHeader('content-type') ?? '').startsWith(EVENT_STREAM_TYPE);

/** Finds the team of the caller's API key, or checks the operators' key. */
export const newAuthenticateFilter = (dependencies: EntryDependencies): Filter => {
  const operatorDigests = dependencies.operatorKeyHashes.map(getDigest);

  const isOperator = (bearerToken: string): boolean => {
    const digest = getDigest(getSecretHash(bearerToken));
    return operatorDigests.some((operatorDigest) => timingSafeEqual(operatorDigest, digest));
  };

  const isConfigStale = (exchange: Exchange): boolean =>
    dependencies.config.ageMs() > exchange.settings['keys.max_age'];

  /**
   * Runs the request until it ends or its key becomes invalid. In the second case an open stream
   * ends with an error event.
   */
  const runWhileValid = (exchange: Exchange, key: NamedApiKey, next: Next) =>
    new Promise<Result<void, ApiError>>((resolve, reject) => {
      const stopWatching = dependencies.keyWatch.add(
        key,
        exchange.settings['keys.max_age'],
        (keyError) => {
          const error: ApiError = { ...keyError, run: exchange.outcome.run };
          const { response } = exchange;
          const finish = (): void => resolve(newFailure(error));
          if (!response.headersSent || response.writableEnded || !isEventStream(exchange)) {
            finish();
            return;
          }
          response.write(`data: ${JSON.stringify(getErrorBody(error))}\n\n`, finish);
          // A caller that has stopped reading must not keep its stream open.
          dependencies.clock.after(FLUSH_TIMEOUT_MS, finish);
        },
      );
      // `exchange.config` dates from the request's arrival: the key may have been revoked since.
      if (!isKeyValid(dependencies.config.current(), key)) {
        stopWatching();
        resolve(rejectKey('unknown key'));
        return;
      }
      next().then(resolve, reject).finally(stopWatching);
    });

  return {
    name: 'authenticate',
    apply: async (exchange, next) => {
      const access = exchange.action?.access ?? exchange.route?.access;
      const bearerToken = getBearerToken(exchange);
      stripCredentials(exchange);
      if (access === 'open') return next();
      if (bearerToken === undefined) return rejectKey('expected a key as a bearer token');
      if (access === 'operator') {
        return isOperator(bearerToken) ? next() : rejectKey('unknown operator key');
      }
      if (isConfigStale(exchange)) return newFailure(newKeysUnconfirmedError());
      const key = exchange.config.apiKeysByHash.get(getSecretHash(bearerToken));
      if (key === undefined || !isKeyValid(exchange.config, key)) return rejectKey('unknown key');
      exchange.key = key;
      exchange.team = key.team;
      exchange.settings = getEffectiveSettings(exchange.config.settingsByLevel, {
        failureDomain: dependencies.failureDomain,
        route: exchange.route?.name,
        team: key.team,
        key: key.id,
      });
      return runWhileValid(exchange, key, next);
    },
  };
};
