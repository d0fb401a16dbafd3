/** Access to the platform's VM list over HTTP. */
import { z } from 'zod';
import { isPort, newFailure, newOk, parseAddress, type Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';
import type { HttpClient } from './httpClient';
import { VM_ROLE, VM_STATE, type Vm, type VmList } from './types';

const vmSchema = z.object({
  vm: z.string().min(1),
  address: z.string().refine((text) => isPort(parseAddress(text)?.port)),
  role: z.enum(VM_ROLE),
  failureDomain: z.string(),
  state: z.enum(VM_STATE),
  group: z.string().optional(),
});

const vmListSchema = z.object({ vms: z.array(z.unknown()) });

/** A list of the VM, or an empty one for an entry that makes no sense. */
const parseVm = (entry: unknown): Vm[] => {
  const vm = vmSchema.safeParse(entry);
  return vm.success ? [vm.data] : [];
};

/** Client of the VM list's HTTP protocol: `GET /vms`. */
export class HttpVmList implements VmList {
  constructor(private readonly client: HttpClient) {}

  async list(): Promise<Result<readonly Vm[], PlatformError>> {
    const response = await this.client.call('GET', '/vms');
    if (!response.ok) return response;
    try {
      const { vms } = vmListSchema.parse(JSON.parse(response.value.body.toString()));
      return newOk(vms.flatMap((entry) => parseVm(entry)));
    } catch {
      return newFailure({ kind: 'invalid_answer', detail: 'invalid response from the VM list' });
    }
  }
}
