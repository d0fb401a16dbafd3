import { readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parse } from 'ini';
import { getSecretHash } from '@anvilpaddle/common';
import { newPlatformStandIn, type PlatformStandIn } from '@anvilpaddle/standins';
import { checkSettingsFile } from '../processSettings/checkSettingsFile';
import { startChild, type Child, type Ini } from './kit/child';
import { runCli } from './kit/cli';

const EXAMPLES = resolve(__dirname, '../../examples');
const OPERATOR_KEY = 'operator-key-for-the-examples';

const readIni = (file: string): Ini =>
  JSON.parse(JSON.stringify(parse(readFileSync(file, 'utf8')))) as Ini;

/** Commands of a page's blocks; those of one block may run side by side. */
const getBlocks = (page: string): string[][] =>
  [...page.matchAll(/```sh\n(.*?)```/gs)].map(([, block = '']) =>
    block
      .trim()
      .split('\n')
      .map((line) => line.replace('anvilpaddle ', '')),
  );

describe.each([
  ['association', 20],
  ['blue-mahoe', 21],
])('the example of %s', (name, network) => {
  const folder = join(EXAMPLES, name);
  const files = readdirSync(join(folder, 'processes'))
    .sort()
    .map((file) => join(folder, 'processes', file));
  let platform: PlatformStandIn;
  let entry: Child;
  let url: string;

  beforeAll(async () => {
    platform = await newPlatformStandIn({ host: '127.0.0.1', port: 0 });
    const host = `127.${Math.floor((process.pid % 65_536) / 256)}.${process.pid % 256}.${network}`;
    const ini = readIni(files.find((file) => file.includes('entry-1')) ?? '');
    url = `http://${host}:8080`;
    entry = await startChild('entry', {
      ...ini,
      platform: { ...ini.platform, url: platform.url },
      peers: { ...ini.peers, listen: `${host}:9000`, seeds: '' },
      metrics: {},
      callers: { listen: `${host}:8080` },
      operators: { key_hash: getSecretHash(OPERATOR_KEY) },
    });
  });

  afterAll(async () => {
    await entry.kill();
    await platform.close();
  });

  it('passes the check of its processes, with its failure domains and counts', () => {
    const faults = files.flatMap((file) => {
      const checked = checkSettingsFile(file);
      return checked.ok ? [] : checked.error;
    });
    const places = files.map(readIni).map(({ process: own, upstream, peers }) => ({
      domain: own?.failure_domain ?? '',
      group: upstream?.group ?? 'entry',
      address: peers?.listen ?? '',
    }));
    const counts = new Map<string, number>();
    places.forEach(({ domain, group }) => {
      const place = `${domain} ${group}`;
      counts.set(place, (counts.get(place) ?? 0) + 1);
    });

    expect(faults).toEqual([]);
    expect(new Set(places.map(({ address }) => address)).size).toBe(files.length);
    expect(Object.fromEntries(counts)).toMatchSnapshot();
  });

  it('is set up by the commands on its page', async () => {
    const results: string[] = [];
    const run = async (line: string): Promise<void> => {
      const isCheck = line === 'config check processes/*.ini';
      const words = isCheck ? ['config', 'check', ...files] : line.split(' ');
      const { code, err } = await runCli(words, url, OPERATOR_KEY, folder);
      if (code !== 0) results.push(`${line}: ${code} ${err}`);
    };
    for (const block of getBlocks(readFileSync(join(folder, 'README.md'), 'utf8'))) {
      if (block.some((line) => line.startsWith('settings'))) {
        for (const line of block) await run(line);
      } else await Promise.all(block.map(run));
    }
    const teams = await runCli(['team', 'list', '--json'], url, OPERATOR_KEY);
    const levels = await runCli(['settings', 'list', '--json'], url, OPERATOR_KEY);
    const names = (JSON.parse(levels.out) as { id: string }[]).map(({ id }) => id);
    const teamNames = (JSON.parse(teams.out) as { id: string }[]).map(({ id }) => id);

    expect(results).toEqual([]);
    expect(teamNames).toHaveLength(8);
    expect(names).toEqual(expect.arrayContaining(teamNames.map((team) => `team/${team}`)));
  });
});
