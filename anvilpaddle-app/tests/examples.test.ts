/** Example configurations: their settings files are valid, and the commands of their pages work. */
import { readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parse } from 'ini';
import { getSecretHash } from '@anvilpaddle/common';
import { newPlatformStandIn, type PlatformStandIn } from '@anvilpaddle/standins';
import { checkSettingsFile } from '../processSettings/checkSettingsFile';
import { startChild, type Child, type Ini } from './kit/child';
import { runCli } from './kit/cli';

const EXAMPLES_FOLDER = resolve(__dirname, '../../examples');
const OPERATOR_KEY = 'operator-key-for-the-examples';

const readIni = (file: string): Ini =>
  JSON.parse(JSON.stringify(parse(readFileSync(file, 'utf8')))) as Ini;

/** Commands in the code blocks of a page; the commands of one block may run in parallel. */
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
])('the example of %s', (name, lastOctet) => {
  const folder = join(EXAMPLES_FOLDER, name);
  const files = readdirSync(join(folder, 'processes'))
    .sort()
    .map((file) => join(folder, 'processes', file));
  let platform: PlatformStandIn;
  let entry: Child;
  let url: string;

  beforeAll(async () => {
    platform = await newPlatformStandIn({ host: '127.0.0.1', port: 0 });
    const host = `127.${Math.floor((process.pid % 65_536) / 256)}.${process.pid % 256}.${lastOctet}`;
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

  it('passes the settings check and has the expected processes in each failure domain', () => {
    const errors = files.flatMap((file) => {
      const checked = checkSettingsFile(file);
      return checked.ok ? [] : checked.error;
    });
    const locations = files.map(readIni).map(({ process: ownSettings, upstream, peers }) => ({
      domain: ownSettings?.failure_domain ?? '',
      group: upstream?.group ?? 'entry',
      address: peers?.listen ?? '',
    }));
    const processCounts = new Map<string, number>();
    locations.forEach(({ domain, group }) => {
      const domainAndGroup = `${domain} ${group}`;
      processCounts.set(domainAndGroup, (processCounts.get(domainAndGroup) ?? 0) + 1);
    });

    expect(errors).toEqual([]);
    expect(new Set(locations.map(({ address }) => address)).size).toBe(files.length);
    expect(Object.fromEntries(processCounts)).toMatchSnapshot();
  });

  it('can be configured with the commands on its page', async () => {
    const failedCommands: string[] = [];
    const run = async (line: string): Promise<void> => {
      const isCheck = line === 'config check processes/*.ini';
      const words = isCheck ? ['config', 'check', ...files] : line.split(' ');
      const { code, err } = await runCli(words, url, OPERATOR_KEY, folder);
      if (code !== 0) failedCommands.push(`${line}: ${code} ${err}`);
    };
    for (const block of getBlocks(readFileSync(join(folder, 'README.md'), 'utf8'))) {
      if (block.some((line) => line.startsWith('settings'))) {
        for (const line of block) await run(line);
      } else await Promise.all(block.map(run));
    }
    const teams = await runCli(['team', 'list', '--json'], url, OPERATOR_KEY);
    const levels = await runCli(['settings', 'list', '--json'], url, OPERATOR_KEY);
    const levelNames = (JSON.parse(levels.out) as { id: string }[]).map(({ id }) => id);
    const teamNames = (JSON.parse(teams.out) as { id: string }[]).map(({ id }) => id);

    expect(failedCommands).toEqual([]);
    expect(teamNames).toHaveLength(8);
    expect(levelNames).toEqual(expect.arrayContaining(teamNames.map((team) => `team/${team}`)));
  });
});
