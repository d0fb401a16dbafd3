import { newSilentLogger } from '@anvilpaddle/common';
import { request } from 'undici';
import { newDevFleet, type DevFleet } from '../dev/devFleet';

/** Quick calls that someone who tries things out may make. */
const CALLS = 60;

describe('the fleet of `anvilpaddle dev`', () => {
  let dev: DevFleet;

  beforeAll(async () => {
    dev = await newDevFleet('127.0.0.1:0', newSilentLogger());
  });

  afterAll(() => dev.stop());

  const getModels = async (): Promise<number> => {
    const answer = await request(`${dev.url}/v1/models`, {
      headers: { authorization: `Bearer ${dev.teamKey}` },
    });
    await answer.body.dump();
    return answer.statusCode;
  };

  it('does not hold the demo team to a rate that trying out meets', async () => {
    const statuses: number[] = [];
    for (let call = 0; call < CALLS; call += 1) statuses.push(await getModels());

    expect(statuses).toEqual(new Array(CALLS).fill(200));
  });
});
