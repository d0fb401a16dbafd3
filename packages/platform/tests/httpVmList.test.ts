import { newOk } from '@anvilpaddle/common';
import type { HttpClient } from '../httpClient';
import { HttpVmList } from '../httpVmList';
import { VM_ROLE, VM_STATE, type Vm } from '../types';

const SOUND: Vm = {
  vm: 'vm-1',
  address: '10.1.0.5:7800',
  role: VM_ROLE.sidecar,
  failureDomain: 'zone-1',
  state: VM_STATE.live,
  group: 'chat',
};

const newList = (body: string): HttpVmList => {
  const client: HttpClient = {
    call: () => Promise.resolve(newOk({ status: 200, body: Buffer.from(body) })),
    close: () => Promise.resolve(),
  };
  return new HttpVmList(client);
};

describe('the list of VMs', () => {
  it.each<[string, unknown]>([
    ['a port beyond the last one', { ...SOUND, address: '10.1.0.5:99999' }],
    ['port 0', { ...SOUND, address: '10.1.0.5:0' }],
    ['no port', { ...SOUND, address: '10.1.0.5' }],
    ['an unknown role', { ...SOUND, role: 'odd' }],
    ['an unknown state', { ...SOUND, state: 1e300 }],
    ['no name', { ...SOUND, vm: '' }],
    ['a group that is no text', { ...SOUND, group: {} }],
    ['no fields', {}],
    ['null for an entry', null],
  ])('has its sound entries beside one with %s', async (_, odd) => {
    expect(await newList(JSON.stringify({ vms: [odd, SOUND] })).list()).toEqual(newOk([SOUND]));
  });

  it('has its sound entries beside one that is deeply nested', async () => {
    const deep = `${'['.repeat(5000)}${']'.repeat(5000)}`;
    const body = `{"vms":[${deep},${JSON.stringify(SOUND)}]}`;
    expect(await newList(body).list()).toEqual(newOk([SOUND]));
  });

  it.each(['{', 'null', '{"vms":5}'])('is no list: %s', async (body) => {
    expect(await newList(body).list()).toMatchObject({ ok: false });
  });
});
