/** Commands that manage routes. */
import type { Options } from 'yargs';
import { newOk } from '@anvilpaddle/common';
import { ROUTE_ACCESS, ROUTE_KIND, type ConfigEntry, type Route } from '@anvilpaddle/protocol';
import {
  changeConfigEntry,
  changeNamedEntry,
  getConfigEntriesOutput,
  readConfigEntries,
  readConfigEntry,
} from '../configEntries';
import {
  getText,
  getTexts,
  type Arguments,
  type CommandGroup,
  type OperatorCommand,
  type Output,
} from '../operatorCommand';

const routeArgument = {
  type: 'string',
  describe: 'Name of the route',
  demandOption: true,
} as const;

const getRouteOptions = (demandOption: boolean): Readonly<Record<string, Options>> => ({
  kind: { choices: Object.values(ROUTE_KIND), describe: 'model or plain service', demandOption },
  path: { type: 'string', describe: 'Path, or prefix when it ends in /', demandOption },
  group: { type: 'string', describe: 'Group of upstreams', demandOption },
  access: { choices: Object.values(ROUTE_ACCESS), describe: 'keyed, or open to all' },
  'idempotent-methods': { type: 'string', describe: 'Methods that may be repeated' },
});

const parseRoute = (args: Arguments, old: Partial<Route> = {}): Partial<Route> => {
  const methods = getTexts(args, 'idempotent-methods');
  const given = Object.fromEntries(
    ['kind', 'path', 'group', 'access'].flatMap((name) =>
      args[name] === undefined ? [] : [[name, getText(args, name)]],
    ),
  );
  return { access: 'keyed', ...old, ...given, ...(methods && { idempotentMethods: methods }) };
};

const getRoutesOutput = (entries: readonly ConfigEntry[]): Output =>
  getConfigEntriesOutput(
    entries,
    ['kind', 'path', 'access', 'group', 'may repeat'],
    ({ value }) => {
      const { kind, path, access, group, idempotentMethods } = value as Route;
      return [kind, path, access, group, idempotentMethods.join(',')];
    },
  );

const createRoute: OperatorCommand = {
  command: 'create <route>',
  describe: 'Create a route',
  positionals: { route: routeArgument },
  options: getRouteOptions(true),
  examples: [
    ['create chat --kind model --path /v1/chat/completions --group llm', 'a model route'],
    ['create checkin --kind plain --path /checkin/ --group band --access open', 'a service'],
  ],
  run: async (args, client) => {
    const id = getText(args, 'route');
    const value = parseRoute(args);
    return changeConfigEntry(
      client,
      { kind: 'route', id, value, basedOn: 0 },
      `created route ${id}`,
    );
  },
};

const showRoute: OperatorCommand = {
  command: 'show <route>',
  describe: 'Show a route',
  positionals: { route: routeArgument },
  examples: [['show chat', 'one route']],
  run: async (args, client) => {
    const entry = await readConfigEntry(client, 'route', getText(args, 'route'));
    if (!entry.ok) return entry;
    return newOk({ json: entry.value, text: getRoutesOutput([entry.value]).text });
  },
};

const listRoutes: OperatorCommand = {
  command: 'list',
  describe: 'List the routes',
  examples: [['list --json', 'all routes']],
  run: async (_, client) => {
    const entries = await readConfigEntries(client, 'route');
    return entries.ok ? newOk(getRoutesOutput(entries.value)) : entries;
  },
};

const changeRoute: OperatorCommand = {
  command: 'change <route>',
  describe: 'Change a route',
  positionals: { route: routeArgument },
  options: {
    ...getRouteOptions(false),
    'based-on': { type: 'number', describe: 'Revision of the route that the change builds on' },
  },
  examples: [['change checkin --access keyed', 'ask for a key from now on']],
  run: (args, client) =>
    changeNamedEntry(client, args, 'route', (current) => parseRoute(args, current as Route)),
};

const removeRoute: OperatorCommand = {
  command: 'remove <route>',
  describe: 'Remove a route',
  positionals: { route: routeArgument },
  examples: [['remove checkin', 'the route answers 404 from then on']],
  run: async (args, client) => {
    const id = getText(args, 'route');
    const entry = await readConfigEntry(client, 'route', id);
    if (!entry.ok) return entry;
    const basedOn = entry.value.revision;
    return changeConfigEntry(
      client,
      { kind: 'route', id, value: null, basedOn },
      `removed route ${id}`,
    );
  },
};

/** Commands about routes. */
export const ROUTE_GROUP: CommandGroup = {
  name: 'route',
  describe: 'Routes to groups of upstreams',
  commands: [createRoute, showRoute, listRoutes, changeRoute, removeRoute],
};
