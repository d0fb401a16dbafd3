/** Validation of settings files: accepted files, and the problems that are reported for others. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { checkSettingsFile } from '../checkSettingsFile';

const HASH = 'a'.repeat(64);
const VALID_ENTRY = `
[process]
vm = entry-1
failure_domain = kgn-a
[platform]
url = http://10.0.0.1:7000
[peers]
listen = 10.0.0.2:9000
secrets = a-secret-of-16-chars
[callers]
listen = 10.0.0.2:8080
[operators]
key_hash = ${HASH}
`;
const VALID_SIDECAR = `
[process]
vm = llm-1
failure_domain = kgn-a
[platform]
url = http://10.0.0.1:7000
[peers]
listen = 10.0.0.3:9000
secrets = a-secret-of-16-chars
[upstream]
url = http://10.0.0.3:8000
kind = engine
group = llm
slots = 8
`;

const CASES: readonly (readonly [string, string])[] = [
  ['an entry', VALID_ENTRY],
  ['a sidecar', VALID_SIDECAR],
  ['two keys during a rotation', VALID_ENTRY.replace(HASH, `${HASH}, ${'b'.repeat(64)}`)],
  ['three keys', VALID_ENTRY.replace(HASH, `${HASH},${HASH},${HASH}`)],
  ['an unknown name', `${VALID_ENTRY}keyhash = x\n`],
  ['an unknown section', `${VALID_ENTRY}[caller]\nlisten = 1.2.3.4:5\n`],
  ['a value outside of a section', `log_level = info\n${VALID_ENTRY}`],
  ['a wrong unit', VALID_ENTRY.replace('[peers]', 'timeout = 2 seconds\nrefresh = 500\n[peers]')],
  ['a missing value', VALID_ENTRY.replace('vm = entry-1\n', '')],
  ['a missing section', VALID_ENTRY.replace('[callers]\nlisten = 10.0.0.2:8080\n', '')],
  ['a flag in place of a number', VALID_SIDECAR.replace('slots = 8', 'slots = true')],
  ['a reserve that leaves no slot', `${VALID_SIDECAR}reserve = 8\n`],
  ['no slots', VALID_SIDECAR.replace('slots = 8', 'slots = 0')],
  ['a port beyond the last', VALID_ENTRY.replace('10.0.0.2:8080', '10.0.0.2:80800')],
  ['one address twice', VALID_ENTRY.replace('10.0.0.2:8080', '10.0.0.2:9000')],
  [
    'a silence shorter than a heartbeat',
    VALID_ENTRY.replace('[callers]', 'heartbeat = 2s\nsilence = 1s\n[callers]'),
  ],
  ['a short secret', VALID_ENTRY.replace('a-secret-of-16-chars', 'short')],
  ['an empty file', ''],
  [
    'many problems at once',
    VALID_ENTRY.replace('entry-1', 'entry 1')
      .replace('http://10.0.0.1:7000', 'somewhere')
      .replace('10.0.0.2:9000', 'localhost')
      .replace(HASH, 'secret'),
  ],
];

describe('settings of a process', () => {
  let folder: string;

  beforeAll(() => {
    folder = mkdtempSync(join(tmpdir(), 'anvilpaddle-check-'));
  });

  afterAll(() => rmSync(folder, { recursive: true, force: true }));

  it.each(CASES)('with %s', (_, text) => {
    const file = join(folder, 'process.ini');
    writeFileSync(file, text);
    const checked = checkSettingsFile(file);

    expect(
      checked.ok ? checked.value : checked.error.map((line) => line.replace(folder, '')),
    ).toMatchSnapshot();
  });

  it('that cannot be read', () => {
    const checked = checkSettingsFile(join(folder, 'none.ini'));

    expect(checked.ok ? '' : checked.error.join()).toMatch(/none\.ini: cannot be read: .*ENOENT/);
  });
});
