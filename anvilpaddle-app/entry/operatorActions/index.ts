/** The operators' API. */
import type { Action } from '../types';
import { changeConfigEntries, readConfigOperation } from './configChanges';
import { listConfigEntries, readConfigEntry, readConfigHistory } from './configEntries';
import { cancelJob, listJobs, readJob } from './jobs';
import { readEffectiveSettings, readStatus } from './status';

/** All actions of the operators' API. */
export const OPERATOR_ACTIONS: readonly Action[] = [
  changeConfigEntries,
  readConfigOperation,
  listConfigEntries,
  readConfigEntry,
  readConfigHistory,
  readStatus,
  readEffectiveSettings,
  listJobs,
  readJob,
  cancelJob,
];
