/** Configuration of one process and how current it is. */
import type { ConfigChange, ConfigState } from '@anvilpaddle/protocol';
import { applyChanges, getContiguousChanges, newConfig, type Config } from './config';

/** Changes that are kept for processes that are behind; older ones need a snapshot. */
const MAX_RECENT_CHANGES = 1_000;

/** Configuration of one process. Its revision only increases, and it tracks how current it is. */
export interface LocalConfig {
  current(): Config;
  /**
   * Replaces the configuration by a newer one, given with the changes that led to it. An older one
   * is ignored.
   */
  replace(next: Config, changes: readonly ConfigChange[]): void;
  /** Applies changes; those after a gap in the revisions are ignored. */
  applyChanges(changes: readonly ConfigChange[]): void;
  /** Applies the state received from another process, which may be behind this one. */
  applyState(state: ConfigState): void;
  /** Records that every change accepted before this monotonic time has been applied here. */
  confirm(asOfMs: number): void;
  /**
   * Age of the last time at which the process is known to have had every accepted change; Infinity
   * when there was none.
   */
  getAgeMs(nowMs: number): number;
  /** Whether the process has had every accepted change at some time since its start. */
  isSynced(): boolean;
  /** State to send to another process that has all changes up to a revision. */
  getState(afterRevision: number, nowMs: number): ConfigState;
}

/** Creates the empty configuration of a starting process; `onChange` runs after each update. */
export const newLocalConfig = (
  startedMs: number,
  onChange: (config: Config) => void,
): LocalConfig => {
  let config = newConfig(0, []);
  let recentChanges: readonly ConfigChange[] = [];
  let confirmedAsOfMs = -Infinity;

  const replace = (next: Config, changes: readonly ConfigChange[]): void => {
    if (next.revision <= config.revision) return;
    const isContiguous = (changes[0]?.revision ?? 0) <= config.revision + 1 && changes.length > 0;
    const kept = isContiguous
      ? recentChanges.filter(({ revision }) => revision < (changes[0]?.revision ?? 0))
      : [];
    recentChanges = [...kept, ...(isContiguous ? changes : [])].slice(-MAX_RECENT_CHANGES);
    config = next;
    onChange(config);
  };

  const applyContiguous = (changes: readonly ConfigChange[]): void => {
    const following = getContiguousChanges(changes, config.revision);
    replace(applyChanges(config, following), following);
  };

  const getAgeMs = (nowMs: number): number => Math.max(0, nowMs - confirmedAsOfMs);

  return {
    current: () => config,
    replace,
    applyChanges: applyContiguous,
    applyState: ({ revision, changes, snapshot }) => {
      if (snapshot === undefined) applyContiguous(changes);
      else if (revision > config.revision) {
        replace(newConfig(revision, snapshot), []);
      }
    },
    confirm: (asOfMs) => {
      confirmedAsOfMs = Math.max(confirmedAsOfMs, asOfMs);
    },
    getAgeMs,
    isSynced: () => confirmedAsOfMs >= startedMs,
    getState: (afterRevision, nowMs) => {
      const ageMs = getAgeMs(nowMs);
      const changes = getContiguousChanges(recentChanges, afterRevision);
      const isComplete =
        afterRevision >= config.revision || changes.at(-1)?.revision === config.revision;
      return {
        revision: config.revision,
        ...(ageMs === Infinity ? {} : { ageMs }),
        synced: confirmedAsOfMs >= startedMs,
        changes: isComplete ? [...changes] : [],
        ...(isComplete ? {} : { snapshot: [...config.entries.values()] }),
      };
    },
  };
};
