/** Access to the platform's VM list over HTTP. */
import { z } from 'zod';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { HttpClient } from './httpClient';
import { VM_ROLE, VM_STATE, type Vm, type VmList } from './types';

const vmListSchema = z.object({
  vms: z.array(
    z.object({
      vm: z.string(),
      address: z.string(),
      role: z.enum(VM_ROLE),
      failureDomain: z.string(),
      state: z.enum(VM_STATE),
      group: z.string().optional(),
    }),
  ),
});

/** Client of the VM list's HTTP protocol: `GET /vms`. */
export class HttpVmList implements VmList {
  constructor(private readonly client: HttpClient) {}

  async list(): Promise<Result<readonly Vm[], PlatformError>> {
    const response = await this.client.call('GET', '/vms');
    if (!response.ok) return response;
    try {
      return newOk(vmListSchema.parse(JSON.parse(response.value.body.toString())).vms);
    } catch {
      return newFailure({ kind: 'invalid_answer', detail: 'invalid response from the VM list' });
    }
  }
}
