/** All of the platform's services behind one HTTP client. */
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
 * Creates clients of the platform's services at a base URL. Connections start from `localAddress`
 * when it is given; each call ends within `timeoutMs`.
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
