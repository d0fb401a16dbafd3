import { timingSafeEqual } from 'node:crypto';
import { getEffectiveSettings } from '@anvilpaddle/decisions';
import { getSecretHash, newFailure, type Result } from '@anvilpaddle/common';
import { newApiError, type ApiError } from '@anvilpaddle/protocol';
import type { EntryServices, Exchange, Filter } from '../exchange';

const getBearer = (exchange: Exchange): string | undefined =>
  /^Bearer\s+(\S+)$/i.exec(exchange.request.headers.authorization ?? '')?.[1];

const isHash = (secret: string, hash: string): boolean =>
  timingSafeEqual(Buffer.from(getSecretHash(secret)), Buffer.from(hash));

/** Finds the team of the caller's key, or checks the operators' key. */
export const newAuthenticateFilter = (services: EntryServices): Filter => {
  const refuse = (message: string): Result<void, ApiError> =>
    newFailure(newApiError('invalid_key', message));

  return {
    name: 'authenticate',
    apply: async (exchange, next) => {
      const access = exchange.action?.access ?? exchange.route?.access;
      if (access === 'open') return next();
      const bearer = getBearer(exchange);
      if (bearer === undefined) return refuse('expected a key as a bearer token');
      if (access === 'operator') {
        if (!isHash(bearer, services.operatorKeyHash)) return refuse('unknown operator key');
        return next();
      }
      const key = exchange.config.keysByHash.get(getSecretHash(bearer));
      if (key === undefined || !exchange.config.teams.has(key.team)) return refuse('unknown key');
      exchange.key = key;
      exchange.team = key.team;
      exchange.settings = getEffectiveSettings(exchange.config.levels, {
        failureDomain: services.failureDomain,
        route: exchange.route?.name,
        team: key.team,
        key: key.id,
      });
      return next();
    },
  };
};
