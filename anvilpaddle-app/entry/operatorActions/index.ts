import type { Action } from '../types';
import { changeEntries, readOperation } from './changes';
import { listEntries, readEntry, readHistory } from './entries';
import { cancelJob, listJobs, readJob } from './jobs';
import { readEffective, readStatus } from './status';

/** All calls of the operators' API. */
export const OPERATOR_ACTIONS: readonly Action[] = [
  changeEntries,
  readOperation,
  listEntries,
  readEntry,
  readHistory,
  readStatus,
  readEffective,
  listJobs,
  readJob,
  cancelJob,
];
