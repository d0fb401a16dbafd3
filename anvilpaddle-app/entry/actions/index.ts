/** The actions of the entry process. */
import type { Action } from '../types';
import { OPERATOR_ACTIONS } from '../operatorActions';
import { cancelBatch, createBatch, listBatches, readBatch } from './batches';
import { readFile, readFileContent, removeFile } from './files';
import { uploadFile } from './fileUpload';
import { readReadiness } from './health';
import { listModels } from './models';

/** All actions of the entry process. */
export const ACTIONS: readonly Action[] = [
  readReadiness,
  listModels,
  uploadFile,
  readFile,
  readFileContent,
  removeFile,
  createBatch,
  readBatch,
  listBatches,
  cancelBatch,
  ...OPERATOR_ACTIONS,
];
