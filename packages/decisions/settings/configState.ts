import type { ConfigChange, ConfigState } from '@anvilpaddle/protocol';
import { applyChanges, getContiguousChanges, newConfig, type Config } from './config';

const RECENT_CHANGES = 1_000;

/** Configuration of one process: it only moves forward, and knows how current it is. */
export interface LocalConfig {
  current(): Config;
  /** Takes a newer configuration with the changes that led to it; an older one is dropped. */
  replace(config: Config, changes: readonly ConfigChange[]): void;
  /** Takes changes; those that would leave a gap are dropped. */
  applyChanges(changes: readonly ConfigChange[]): void;
  /** Takes what another process has; it may be behind. */
  applyState(state: ConfigState): void;
  /** Every change accepted before this monotonic time is in force here. */
  confirm(timeMs: number): void;
  /** Time since the process surely had every accepted change; Infinity before the first. */
  getAgeMs(nowMs: number): number;
  /** Whether it has been current at some time since it started. */
  isSynced(): boolean;
  /** What it tells another process that has everything up to a revision. */
  getState(after: number, nowMs: number): ConfigState;
}

/** Empty configuration of a process that starts now; `onChange` runs after each move. */
export const newLocalConfig = (
  startedMs: number,
  onChange: (config: Config) => void,
): LocalConfig => {
  let config = newConfig(0, []);
  let recent: readonly ConfigChange[] = [];
  let currentAsOfMs = -Infinity;

  const adopt = (next: Config, changes: readonly ConfigChange[]): void => {
    if (next.revision <= config.revision) return;
    const joins = (changes[0]?.revision ?? 0) <= config.revision + 1 && changes.length > 0;
    const kept = joins
      ? recent.filter(({ revision }) => revision < (changes[0]?.revision ?? 0))
      : [];
    recent = [...kept, ...(joins ? changes : [])].slice(-RECENT_CHANGES);
    config = next;
    onChange(config);
  };

  const applyAll = (changes: readonly ConfigChange[]): void => {
    const following = getContiguousChanges(changes, config.revision);
    adopt(applyChanges(config, following), following);
  };

  const getAgeMs = (nowMs: number): number => Math.max(0, nowMs - currentAsOfMs);

  return {
    current: () => config,
    replace: adopt,
    applyChanges: applyAll,
    applyState: ({ revision, changes, snapshot }) => {
      if (snapshot === undefined) applyAll(changes);
      else if (revision > config.revision) {
        adopt(newConfig(revision, snapshot), []);
      }
    },
    confirm: (timeMs) => {
      currentAsOfMs = Math.max(currentAsOfMs, timeMs);
    },
    getAgeMs,
    isSynced: () => currentAsOfMs >= startedMs,
    getState: (after, nowMs) => {
      const ageMs = getAgeMs(nowMs);
      const changes = getContiguousChanges(recent, after);
      const isWhole = after >= config.revision || changes.at(-1)?.revision === config.revision;
      return {
        revision: config.revision,
        ...(ageMs === Infinity ? {} : { ageMs }),
        synced: currentAsOfMs >= startedMs,
        changes: isWhole ? [...changes] : [],
        ...(isWhole ? {} : { snapshot: [...config.entries.values()] }),
      };
    },
  };
};
