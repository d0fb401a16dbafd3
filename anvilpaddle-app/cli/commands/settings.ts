/** Commands that manage the settings tree. */
import { newOk } from '@anvilpaddle/common';
import type { SettingOrigin } from '@anvilpaddle/decisions';
import type { ConfigChange, LevelSettings } from '@anvilpaddle/protocol';
import {
  changeConfigEntry,
  findConfigEntry,
  getChangeOutput,
  getConfigEntriesOutput,
  readConfigEntries,
  readConfigEntry,
  sendConfigChange,
} from '../configEntries';
import {
  getText,
  newCommandFailure,
  newUsageFailure,
  type CommandGroup,
  type OperatorCommand,
} from '../operatorCommand';
import { getDiffLines, getSettingsChanges, readSettingsFile } from '../settingsFile';
import { formatTable } from '../table';

const levelArgument = {
  type: 'string',
  describe: 'Level, such as fleet, team/coaches or failure-domain/kgn-a',
  demandOption: true,
} as const;

const formatIni = (id: string, level: LevelSettings): string =>
  [`[${id}]`, ...Object.entries(level).map(([name, text]) => `${name} = ${text}`)].join('\n');

const applySettings: OperatorCommand = {
  command: 'apply <file>',
  describe: 'Bring the levels of an INI file into force as one change',
  positionals: { file: { type: 'string', describe: 'INI file', demandOption: true } },
  options: {
    'dry-run': { type: 'boolean', default: false, describe: 'Only show what would change' },
    prune: { type: 'boolean', default: false, describe: 'Remove levels that the file lacks' },
  },
  examples: [
    ['apply settings.ini --dry-run', 'what would change'],
    ['apply settings.ini', 'all of it, or nothing when one line is wrong'],
  ],
  run: async (args, client) => {
    const levels = readSettingsFile(getText(args, 'file'));
    if (!levels.ok) return newUsageFailure(...levels.error);
    const current = await readConfigEntries(client, 'settings');
    if (!current.ok) return current;
    const changes = getSettingsChanges(current.value, levels.value, args.prune === true);
    const lines = getDiffLines(current.value, changes);
    if (changes.length === 0) return newOk({ json: { changes: [] }, text: 'nothing to change' });
    if (args['dry-run'] === true) {
      return newOk({ json: { dryRun: true, changes }, text: lines.join('\n') });
    }
    const sent = await sendConfigChange(client, changes);
    if (!sent.ok) return sent;
    const description = [...lines, `applied ${changes.length} levels`].join('\n');
    return newOk({ ...getChangeOutput(sent.value, description), json: { ...sent.value, changes } });
  },
};

const showSettings: OperatorCommand = {
  command: 'show <path>',
  describe: 'Show what a level overrides, or with --effective what is in force there',
  positionals: { path: levelArgument },
  options: {
    effective: { type: 'boolean', default: false, describe: 'All settings with their origin' },
    team: { type: 'string', describe: 'With --effective: as seen by this team' },
    route: { type: 'string', describe: 'With --effective: on this route' },
    'failure-domain': { type: 'string', describe: 'With --effective: in this failure domain' },
  },
  examples: [
    ['show team/coaches', 'what the level itself sets'],
    ['show team/coaches --effective', 'every setting and the level that it comes from'],
  ],
  run: async (args, client) => {
    const id = getText(args, 'path');
    if (args.effective !== true) {
      const entry = await readConfigEntry(client, 'settings', id);
      if (!entry.ok) return entry;
      return newOk({ json: entry.value, text: formatIni(id, entry.value.value as LevelSettings) });
    }
    const query = new URLSearchParams();
    ['team', 'route', 'failure-domain'].forEach((name) => {
      if (args[name] !== undefined) query.set(name, getText(args, name));
    });
    const [kind = '', name = ''] = id.split('/');
    if (id !== 'fleet') query.set(kind, name);
    const response = await client.get(`/effective?${query}`);
    if (!response.ok) return newCommandFailure(response.error);
    const { settings } = response.value as { settings: readonly SettingOrigin[] };
    const rows = settings.map((origin) => [origin.name, origin.text, origin.level]);
    return newOk({ json: response.value, text: formatTable(['setting', 'value', 'level'], rows) });
  },
};

const listSettings: OperatorCommand = {
  command: 'list',
  describe: 'List the levels that override something',
  examples: [['list', 'all levels']],
  run: async (_, client) => {
    const entries = await readConfigEntries(client, 'settings');
    if (!entries.ok) return entries;
    return newOk(
      getConfigEntriesOutput(entries.value, ['settings'], ({ value }) => [
        Object.keys(value as LevelSettings).join(', '),
      ]),
    );
  },
};

const changeSettings: OperatorCommand = {
  command: 'change <path> <values..>',
  describe: 'Override settings of a level; NAME= takes an override away',
  positionals: {
    path: levelArgument,
    values: { type: 'string', array: true, describe: 'NAME=VALUE', demandOption: true },
  },
  options: {
    'based-on': { type: 'number', describe: 'Revision of the level that the change builds on' },
  },
  examples: [['change team/coaches limits.rate=40 limits.burst=80', 'two overrides together']],
  run: async (args, client) => {
    const id = getText(args, 'path');
    const pairs = (args.values as string[]).map((pair) => pair.split(/=(.*)/s));
    const errors = pairs.filter((pair) => pair.length < 2).map(([name]) => `${name}: no "="`);
    if (errors.length > 0) return newUsageFailure(...errors);
    const entry = await findConfigEntry(client, 'settings', id);
    if (!entry.ok) return entry;
    const given = pairs.map(([name = '', text = '']) => [name.trim(), text.trim()] as const);
    const level = {
      ...(entry.value?.value as LevelSettings | undefined),
      ...Object.fromEntries(given),
    };
    const value = Object.fromEntries(Object.entries(level).filter(([, text]) => text !== ''));
    const basedOn = Number(args['based-on'] ?? entry.value?.revision ?? 0);
    return changeConfigEntry(client, { kind: 'settings', id, value, basedOn }, `changed [${id}]`);
  },
};

const removeSettings: OperatorCommand = {
  command: 'remove <path>',
  describe: 'Remove all overrides of a level',
  positionals: { path: levelArgument },
  examples: [['remove team/coaches', 'the team inherits everything again']],
  run: async (args, client) => {
    const id = getText(args, 'path');
    const entry = await readConfigEntry(client, 'settings', id);
    if (!entry.ok) return entry;
    const basedOn = entry.value.revision;
    return changeConfigEntry(
      client,
      { kind: 'settings', id, value: null, basedOn },
      `removed [${id}]`,
    );
  },
};

const showHistory: OperatorCommand = {
  command: 'history',
  describe: 'Show accepted changes of teams, keys, routes and settings',
  options: { after: { type: 'number', default: 0, describe: 'Only after this revision' } },
  examples: [['history --after 120', 'what has changed since']],
  run: async (args, client) => {
    const response = await client.get(`/history?after=${getText(args, 'after')}`);
    if (!response.ok) return newCommandFailure(response.error);
    const { changes } = response.value as { changes: readonly ConfigChange[] };
    const rows = changes.map((change) => [
      String(change.revision),
      change.acceptedAt,
      change.author,
      change.changes
        .map(({ kind, id, value }) => `${value === null ? '-' : '+'}${kind}/${id}`)
        .join(' '),
    ]);
    const header = ['revision', 'accepted at', 'author', 'entries'];
    return newOk({ json: response.value, text: formatTable(header, rows) });
  },
};

/** Commands about settings. */
export const SETTINGS_GROUP: CommandGroup = {
  name: 'settings',
  describe: 'The settings tree',
  commands: [
    applySettings,
    showSettings,
    listSettings,
    changeSettings,
    removeSettings,
    showHistory,
  ],
};
