import type { Config } from '@anvilpaddle/decisions';
import type { Clock } from '@anvilpaddle/common';
import { newApiError, type ApiError, type ApiKey } from '@anvilpaddle/protocol';
import type { ConfigController } from './configController';

const CHECK_MS = 200;
/** Checks in a row that find the configuration too old before open requests are ended. */
const STALE_CHECKS = 5;

/** Keeps an eye on the keys of open requests. */
export interface KeyWatch {
  /** Runs the action once when the key stops being valid; the result ends the watch. */
  add(key: ApiKey, maxAgeMs: number, onEnd: (error: ApiError) => void): () => void;
  close(): void;
}

interface Watched {
  readonly key: ApiKey;
  readonly maxAgeMs: number;
  readonly onEnd: (error: ApiError) => void;
}

/** Whether the configuration still holds the key and its team. */
export const isKeyValid = (config: Config, key: ApiKey): boolean =>
  config.apiKeysByHash.get(key.hash)?.team === key.team && config.teams.has(key.team);

/** Error of a request whose key this process cannot vouch for. */
export const newKeysUnconfirmedError = (): ApiError =>
  newApiError('keys_unconfirmed', 'this entry cannot confirm now that keys are valid', {
    retryAfterMs: 1000,
  });

/** Ends open requests when their key is withdrawn or can no longer be confirmed. */
export const newKeyWatch = (config: ConfigController, clock: Clock): KeyWatch => {
  /** Open requests with the number of late checks in a row. */
  const open = new Map<Watched, number>();

  const end = (watched: Watched, error: ApiError): void => {
    open.delete(watched);
    watched.onEnd(error);
  };

  config.onChange((current) =>
    open.forEach((_, watched) => {
      if (isKeyValid(current, watched.key)) return;
      end(watched, newApiError('invalid_key', 'the key was withdrawn'));
    }),
  );
  // One late check is no proof: a process that was paused becomes current again at once.
  const timer = clock.every(CHECK_MS, () =>
    open.forEach((earlier, watched) => {
      const staleChecks = config.ageMs() > watched.maxAgeMs ? earlier + 1 : 0;
      open.set(watched, staleChecks);
      if (staleChecks >= STALE_CHECKS) end(watched, newKeysUnconfirmedError());
    }),
  );

  return {
    add: (key, maxAgeMs, onEnd) => {
      const watched: Watched = { key, maxAgeMs, onEnd };
      open.set(watched, 0);
      return () => {
        open.delete(watched);
      };
    },
    close: () => timer.cancel(),
  };
};
