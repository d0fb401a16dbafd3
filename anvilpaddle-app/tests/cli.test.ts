/** Tests of the operators' commands against running processes, with snapshots of their output. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { COMMAND_GROUPS, UNGROUPED_COMMANDS } from '../cli/commands';
import { runCli, type CliResult } from './kit/cli';
import { newFleet, OPERATOR_KEY, type Fleet } from './kit/fleet';

/** Number of help pages requested concurrently. */
const HELP_BATCH_SIZE = 6;

/** Output with a placeholder for each value that differs between runs, for snapshots. */
const normalizeOutput = ({ code, out, err }: CliResult): string =>
  `exit ${code}\n${out}${err}`
    .replaceAll(/(key|op)_[0-9a-f]{24}/g, '$1_ID')
    .replaceAll(/ap-[\w-]{32}/g, 'ap-SECRET')
    .replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME');

describe('the operators’ command line', () => {
  let fleet: Fleet;
  let folder: string;

  beforeAll(async () => {
    folder = mkdtempSync(join(tmpdir(), 'anvilpaddle-cli-'));
    fleet = await newFleet({ entries: 2, engines: 1, plainUpstreams: 0 });
  });

  afterAll(async () => {
    await fleet.close();
    rmSync(folder, { recursive: true, force: true });
  });

  const run = (line: string, entry = 0): Promise<CliResult> =>
    runCli(line.split(' '), fleet.entries[entry]?.url, OPERATOR_KEY, folder);
  const getOutput = async (line: string): Promise<string> => {
    const output = normalizeOutput(await run(line));
    // Keeps only the settings that these tests change, so that new ones don't alter the snapshot.
    return line.endsWith('--effective')
      ? output.replaceAll(/^(?!exit|setting |limits|keys).*\n/gm, '')
      : output;
  };

  it('prints help for every command', async () => {
    const lines = [
      '--help',
      ...COMMAND_GROUPS.map(({ name }) => `${name} --help`),
      ...COMMAND_GROUPS.flatMap(({ name, commands }) =>
        commands.map(({ command }) => `${name} ${command.split(' ')[0]} --help`),
      ),
      ...UNGROUPED_COMMANDS.map(({ command }) => `${command} --help`),
      'config check --help',
    ];
    const helps: string[] = [];
    for (let start = 0; start < lines.length; start += HELP_BATCH_SIZE) {
      const batch = lines.slice(start, start + HELP_BATCH_SIZE);
      helps.push(
        ...(await Promise.all(batch.map(async (line) => `$ ${line}\n${await getOutput(line)}`))),
      );
    }

    expect(helps.join('\n')).toMatchSnapshot();
  });

  it('creates, shows, lists, changes and removes a team', async () => {
    const lines = [
      'team create coaches --models small-chat',
      'team create coaches',
      'team show coaches',
      'team change coaches --routes chat,checkin',
      'team change coaches --based-on 1 --models any',
      'team change coaches --routes nowhere',
      'team list',
      'team show nobody',
    ];
    const outputs: string[] = [];
    for (const line of lines) outputs.push(`$ ${line}\n${await getOutput(line)}`);
    expect(outputs.join('\n')).toMatchSnapshot();
  });

  it('shows a key once, and it works until it is removed', async () => {
    const created = await run('key create coaches --label phone --json');
    const { id, key } = JSON.parse(created.out) as { id: string; key: string };
    const getStatus = async (): Promise<number> =>
      (
        await fetch(`${fleet.entries[0]?.url}/v1/models`, {
          headers: { 'x-a': 'b', authorization: `Bearer ${key}` },
        })
      ).status;
    const before = await getStatus();
    const listed = await run('key list --team coaches --json');
    const shown = await getOutput(`key show ${id}`);
    const changed = await getOutput(`key change ${id} --label watch`);
    const removed = await getOutput(`key remove ${id}`);

    expect(before).toBe(200);
    expect(await getStatus()).toBe(401);
    expect(listed.out).not.toContain(key);
    expect(listed.out).not.toContain('hash');
    expect([shown, changed, removed].join('\n')).toMatchSnapshot();
    expect(
      JSON.stringify(fleet.platform.tables.scan('config_changes', { prefix: '', limit: 500 })),
    ).not.toContain(key);
  });

  it('applies settings as one change and shows where each comes from', async () => {
    writeFileSync(
      join(folder, 'good.ini'),
      '[fleet]\nlimits.rate = 50\n[team/coaches]\nlimits.rate = 20\nkeys.max_age = 2s\n',
    );
    writeFileSync(
      join(folder, 'bad.ini'),
      'stray = 1\n[fleet]\nlimits.rat = 50\nrequest.timeout = 5\n[teams/coaches]\nlimits.rate = x\n',
    );
    writeFileSync(
      join(folder, 'unfit.ini'),
      '[team/nobody]\nlimits.rate = 5\n[route/a.b]\nlimits.burst = 2\n',
    );
    const lines = [
      'settings apply bad.ini',
      'settings apply unfit.ini',
      'settings apply good.ini --dry-run',
      'settings apply good.ini',
      'settings apply good.ini',
      'settings show team/coaches',
      'settings show team/coaches --effective',
      'settings change team/coaches limits.burst=9 keys.max_age=',
      'settings change team/coaches limits.burst',
      'settings list',
      'settings remove team/coaches',
      'settings apply good.ini --prune',
      'settings history --after 1',
    ];
    const outputs: string[] = [];
    for (const line of lines) outputs.push(`$ ${line}\n${await getOutput(line)}`);
    expect(outputs.join('\n')).toMatchSnapshot();
  });

  it('shows the status and the jobs', async () => {
    const status = JSON.parse((await run('status --json')).out) as Record<string, unknown>;

    expect(status).toMatchObject({ stage: 'serving', members: expect.any(Array) as unknown });
    expect((await run('status')).out).toContain('llm-1');
    expect(await getOutput('job list --team coaches')).toMatchSnapshot();
    expect(await getOutput('job show batch_none')).toMatchSnapshot();
    expect(await getOutput('job cancel batch_none')).toMatchSnapshot();
    expect(await getOutput('operation show op_none_such')).toMatchSnapshot();
  });

  it('exits with a code for each kind of failure', async () => {
    const url = fleet.entries[0]?.url;
    const wrongKey = await runCli(['team', 'list'], url, 'wrong');
    const noEntry = await runCli(
      ['team', 'list'],
      `http://${fleet.entries[0]?.host}:1`,
      OPERATOR_KEY,
    );
    const noUrl = await runCli(['team', 'list']);
    const unknown = await runCli(['team', 'list', '--nonsense'], url, OPERATOR_KEY);
    fleet.platform.faults.add({ path: '/tables/', kind: 'refuse' });
    const storeDown = await run('team create late');
    fleet.platform.faults.clear();

    expect([wrongKey, noEntry, noUrl, unknown, storeDown].map(({ code }) => code)).toEqual([
      1, 4, 2, 2, 4,
    ]);
    expect(wrongKey.err).not.toContain('wrong');
  });

  it('resends a change whose response was lost, and the change takes effect once', async () => {
    fleet.platform.faults.add({ path: '/tables/transact', kind: 'drop_after', times: 1 });
    const created = await run('team create lost');
    fleet.platform.faults.clear();

    expect(created.code).toBe(0);
    expect((await run('team remove lost')).code).toBe(0);
  });
});
