import { timingSafeEqual } from 'node:crypto';
import { getEffectiveSettings, type NamedApiKey } from '@anvilpaddle/decisions';
import { getSecretHash, newFailure, type Result } from '@anvilpaddle/common';
import { getErrorBody, newApiError, type ApiError } from '@anvilpaddle/protocol';
import { isKeyValid, newKeysUnconfirmedError } from '../../controllers/keyWatch';
import { getBearer, stripCredentials } from '../credentials';
import type { EntryServices, Exchange, Filter, Next } from '../types';

const STREAM_TYPE = 'text/event-stream';
const LAST_WRITE_MS = 500;

const getDigest = (hash: string): Buffer => Buffer.from(hash, 'hex');

const refuse = (message: string): Result<void, ApiError> =>
  newFailure(newApiError('invalid_key', message));

const isStream = (exchange: Exchange): boolean =>
  String(exchange.response.getHeader('content-type') ?? '').startsWith(STREAM_TYPE);

/** Finds the team of the caller's key, or checks the operators' key. */
export const newAuthenticateFilter = (services: EntryServices): Filter => {
  const operatorDigests = services.operatorKeyHashes.map(getDigest);

  const isOperator = (bearer: string): boolean => {
    const digest = getDigest(getSecretHash(bearer));
    return operatorDigests.some((known) => timingSafeEqual(known, digest));
  };

  const isStale = (exchange: Exchange): boolean =>
    services.config.ageMs() > exchange.settings['keys.max_age'];

  /** Runs the request until it ends or its key does; an open stream ends with an explicit error. */
  const runWhileValid = (exchange: Exchange, key: NamedApiKey, next: Next) =>
    new Promise<Result<void, ApiError>>((resolve, reject) => {
      const stopWatching = services.keyWatch.add(
        key,
        exchange.settings['keys.max_age'],
        (ended) => {
          const error: ApiError = { ...ended, run: exchange.outcome.run };
          const { response } = exchange;
          const finish = (): void => resolve(newFailure(error));
          if (!response.headersSent || response.writableEnded || !isStream(exchange)) {
            finish();
            return;
          }
          response.write(`data: ${JSON.stringify(getErrorBody(error))}\n\n`, finish);
          // A caller that reads nothing does not hold its stream open.
          services.clock.after(LAST_WRITE_MS, finish);
        },
      );
      // The body may have taken long to come.
      if (!isKeyValid(services.config.current(), key)) {
        stopWatching();
        resolve(refuse('unknown key'));
        return;
      }
      next().then(resolve, reject).finally(stopWatching);
    });

  return {
    name: 'authenticate',
    apply: async (exchange, next) => {
      const access = exchange.action?.access ?? exchange.route?.access;
      const bearer = getBearer(exchange);
      stripCredentials(exchange);
      if (access === 'open') return next();
      if (bearer === undefined) return refuse('expected a key as a bearer token');
      if (access === 'operator') {
        return isOperator(bearer) ? next() : refuse('unknown operator key');
      }
      if (isStale(exchange)) return newFailure(newKeysUnconfirmedError());
      const key = exchange.config.apiKeysByHash.get(getSecretHash(bearer));
      if (key === undefined || !isKeyValid(exchange.config, key)) return refuse('unknown key');
      exchange.key = key;
      exchange.team = key.team;
      exchange.settings = getEffectiveSettings(exchange.config.settingsByLevel, {
        failureDomain: services.failureDomain,
        route: exchange.route?.name,
        team: key.team,
        key: key.id,
      });
      return runWhileValid(exchange, key, next);
    },
  };
};
