import { newHttpClient } from './httpClient';
import { HttpObjectStore } from './httpObjectStore';
import { HttpTableService } from './httpTableService';
import { HttpVmList } from './httpVmList';
import { HttpWeightStore } from './httpWeightStore';
import type { ObjectStore, TableService, VmList, WeightStore } from './types';

/** All services of the platform that a process uses. */
export interface Platform {
  readonly tables: TableService;
  readonly objects: ObjectStore;
  readonly weights: WeightStore;
  readonly vms: VmList;
  close(): Promise<void>;
}

/**
 * Platform reached over HTTP at a base URL from a local address; each call ends within the timeout
 * in milliseconds.
 */
export const newPlatform = (
  baseUrl: string,
  timeoutMs: number,
  localAddress?: string,
): Platform => {
  const client = newHttpClient(baseUrl, timeoutMs, localAddress);
  return {
    tables: new HttpTableService(client),
    objects: new HttpObjectStore(client),
    weights: new HttpWeightStore(client),
    vms: new HttpVmList(client),
    close: () => client.close(),
  };
};
