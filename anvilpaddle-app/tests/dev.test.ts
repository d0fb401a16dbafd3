/** Tests of the local system that `anvilpaddle dev` runs. */
import { newSilentLogger } from '@anvilpaddle/common';
import { request } from 'undici';
import { newDevFleet, type DevFleet } from '../dev/devFleet';

/** Number of requests in quick succession that manual use may reach. */
const REQUESTS = 60;

describe('the fleet of `anvilpaddle dev`', () => {
  let dev: DevFleet;

  beforeAll(async () => {
    dev = await newDevFleet('127.0.0.1:0', newSilentLogger());
  });

  afterAll(() => dev.stop());

  const requestModels = async (): Promise<number> => {
    const response = await request(`${dev.url}/v1/models`, {
      headers: { authorization: `Bearer ${dev.teamKey}` },
    });
    await response.body.dump();
    return response.statusCode;
  };

  it('does not rate-limit the demo team in manual use', async () => {
    const statuses: number[] = [];
    for (let sent = 0; sent < REQUESTS; sent += 1) statuses.push(await requestModels());

    expect(statuses).toEqual(new Array(REQUESTS).fill(200));
  });
});
