/** Ending of open requests whose API key is revoked or can no longer be confirmed. */
import type { Config } from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import { newApiError, type ApiError, type ApiKey } from '@anvilpaddle/protocol';
import type { ConfigController } from './configController';

const CHECK_INTERVAL_MS = 200;
/** Number of consecutive checks with a stale configuration at which a request is ended. */
const STALE_CHECK_LIMIT = 5;

/** Monitors the API keys of open requests. */
export interface KeyWatch {
  /**
   * Calls `onEnd` once when the key is revoked or the configuration has been older than `maxAgeMs`
   * for several checks. Returns a function that stops watching the key.
   */
  add(key: ApiKey, maxAgeMs: number, onEnd: (error: ApiError) => void): () => void;
  /** Stops the periodic checks. */
  close(): void;
}

interface WatchedRequest {
  readonly key: ApiKey;
  readonly maxAgeMs: number;
  readonly onEnd: (error: ApiError) => void;
}

/** Whether the configuration still contains the API key and its team. */
export const isKeyValid = (config: Config, key: ApiKey): boolean =>
  config.apiKeysByHash.get(key.hash)?.team === key.team && config.teams.has(key.team);

/** Creates the error for a request whose API key this process cannot confirm at the moment. */
export const newKeysUnconfirmedError = (): ApiError =>
  newApiError('keys_unconfirmed', 'this entry cannot confirm now that keys are valid', {
    retryAfterMs: 1000,
  });

/** Creates a watch that follows the configuration; it runs until it is closed. */
export const newKeyWatch = (config: ConfigController, clock: Clock): KeyWatch => {
  /** Open requests with the number of consecutive checks that found the configuration stale. */
  const staleChecksByRequest = new Map<WatchedRequest, number>();

  const end = (request: WatchedRequest, error: ApiError): void => {
    staleChecksByRequest.delete(request);
    request.onEnd(error);
  };

  config.onChange((current) =>
    staleChecksByRequest.forEach((_, request) => {
      if (isKeyValid(current, request.key)) return;
      end(request, newApiError('invalid_key', 'the key was withdrawn'));
    }),
  );
  // One check is not enough: a process that was paused catches up right after it resumes.
  const timer = clock.every(CHECK_INTERVAL_MS, () =>
    staleChecksByRequest.forEach((previous, request) => {
      const staleChecks = config.ageMs() > request.maxAgeMs ? previous + 1 : 0;
      staleChecksByRequest.set(request, staleChecks);
      if (staleChecks >= STALE_CHECK_LIMIT) end(request, newKeysUnconfirmedError());
    }),
  );

  return {
    add: (key, maxAgeMs, onEnd) => {
      const request: WatchedRequest = { key, maxAgeMs, onEnd };
      staleChecksByRequest.set(request, 0);
      return () => {
        staleChecksByRequest.delete(request);
      };
    },
    close: () => timer.cancel(),
  };
};
