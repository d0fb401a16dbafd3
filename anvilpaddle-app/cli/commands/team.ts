/** Commands that manage teams. */
import { newOk } from '@anvilpaddle/common';
import type { ApiKey, Team } from '@anvilpaddle/protocol';
import {
  changeConfigEntry,
  changeNamedEntry,
  findConfigEntry,
  getChangeOutput,
  getConfigEntriesOutput,
  readConfigEntries,
  readConfigEntry,
  sendConfigChange,
} from '../configEntries';
import {
  getText,
  getTexts,
  type Arguments,
  type CommandGroup,
  type OperatorCommand,
} from '../operatorCommand';

const teamArgument = { type: 'string', describe: 'Name of the team', demandOption: true } as const;
const permissionOptions = {
  models: { type: 'string', describe: 'Models it may use, separated by commas; all when missing' },
  routes: { type: 'string', describe: 'Routes it may use, separated by commas; all when missing' },
} as const;

const parseTeam = (args: Arguments, old: Team = {}): Team => {
  const models = getTexts(args, 'models') ?? old.models;
  const routes = getTexts(args, 'routes') ?? old.routes;
  return { ...(models && { models }), ...(routes && { routes }) };
};

const getCells = ({ models, routes }: Team): string[] => [
  models?.join(',') ?? 'all',
  routes?.join(',') ?? 'all',
];

const createTeam: OperatorCommand = {
  command: 'create <team>',
  describe: 'Create a team',
  positionals: { team: teamArgument },
  options: permissionOptions,
  examples: [['create coaches --models sleep-chat', 'a team that may use one model']],
  run: async (args, client) => {
    const id = getText(args, 'team');
    const value = parseTeam(args);
    return changeConfigEntry(client, { kind: 'team', id, value, basedOn: 0 }, `created team ${id}`);
  },
};

const showTeam: OperatorCommand = {
  command: 'show <team>',
  describe: 'Show a team',
  positionals: { team: teamArgument },
  examples: [['show coaches --json', 'with the revision that the next change builds on']],
  run: async (args, client) => {
    const entry = await readConfigEntry(client, 'team', getText(args, 'team'));
    if (!entry.ok) return entry;
    const { text } = getConfigEntriesOutput([entry.value], ['models', 'routes'], ({ value }) =>
      getCells(value as Team),
    );
    return newOk({ json: entry.value, text });
  },
};

const listTeams: OperatorCommand = {
  command: 'list',
  describe: 'List the teams',
  examples: [['list', 'all teams']],
  run: async (_, client) => {
    const entries = await readConfigEntries(client, 'team');
    if (!entries.ok) return entries;
    return newOk(
      getConfigEntriesOutput(entries.value, ['models', 'routes'], ({ value }) =>
        getCells(value as Team),
      ),
    );
  },
};

const changeTeam: OperatorCommand = {
  command: 'change <team>',
  describe: 'Change what a team may use',
  positionals: { team: teamArgument },
  options: {
    ...permissionOptions,
    'based-on': { type: 'number', describe: 'Revision of the team that the change builds on' },
  },
  examples: [['change coaches --routes chat,checkin', 'allow two routes']],
  run: (args, client) =>
    changeNamedEntry(client, args, 'team', (current) => parseTeam(args, current as Team)),
};

const removeTeam: OperatorCommand = {
  command: 'remove <team>',
  describe: 'Remove a team with its keys and settings; its open requests end',
  positionals: { team: teamArgument },
  examples: [['remove coaches', 'the team, its keys and its settings, together']],
  run: async (args, client) => {
    const id = getText(args, 'team');
    const entry = await readConfigEntry(client, 'team', id);
    if (!entry.ok) return entry;
    const keys = await readConfigEntries(client, 'key');
    if (!keys.ok) return keys;
    const settings = await findConfigEntry(client, 'settings', `team/${id}`);
    if (!settings.ok) return settings;
    const teamKeys = keys.value.filter(({ value }) => (value as ApiKey).team === id);
    const teamSettings = settings.value === undefined ? [] : [settings.value];
    const sent = await sendConfigChange(
      client,
      [entry.value, ...teamKeys, ...teamSettings].map((removed) => ({
        kind: removed.kind,
        id: removed.id,
        value: null,
        basedOn: removed.revision,
      })),
    );
    if (!sent.ok) return sent;
    return newOk(getChangeOutput(sent.value, `removed team ${id} and ${teamKeys.length} keys`));
  },
};

/** Commands about teams. */
export const TEAM_GROUP: CommandGroup = {
  name: 'team',
  describe: 'Teams',
  commands: [createTeam, showTeam, listTeams, changeTeam, removeTeam],
};
