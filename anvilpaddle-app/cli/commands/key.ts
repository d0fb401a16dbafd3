/** Commands that manage API keys. */
import { getSecretHash, newId, newOk, newSecret } from '@anvilpaddle/common';
import type { ConfigEntry, ApiKey } from '@anvilpaddle/protocol';
import {
  changeConfigEntry,
  getConfigEntriesOutput,
  readConfigEntries,
  readConfigEntry,
  sendConfigChange,
} from '../configEntries';
import { getText, type CommandGroup, type OperatorCommand, type Output } from '../operatorCommand';

const idArgument = { type: 'string', describe: 'Id of the key', demandOption: true } as const;
const labelOption = { type: 'string', describe: 'What the key is for' } as const;

/** Configuration entry of a key without its hash, which no operator needs to see. */
const getVisibleEntry = ({ value, ...entry }: ConfigEntry) => {
  const { team, label: text } = value as ApiKey;
  return { ...entry, value: { team, ...(text !== undefined && { label: text }) } };
};

const getOutput = (entries: readonly ConfigEntry[]): Output =>
  getConfigEntriesOutput(entries.map(getVisibleEntry), ['team', 'label'], ({ value }) => {
    const { team, label: text } = value as ApiKey;
    return [team, text ?? ''];
  });

const createKey: OperatorCommand = {
  command: 'create <team>',
  describe: 'Create a key; it is shown this once',
  positionals: { team: { type: 'string', describe: 'Team of the key', demandOption: true } },
  options: { label: labelOption },
  examples: [['create coaches --label "phone app"', 'prints the key; keep it, it is not stored']],
  run: async (args, client) => {
    const secret = newSecret('ap');
    const key = newId('key');
    const text = getText(args, 'label');
    const value: ApiKey = {
      team: getText(args, 'team'),
      hash: getSecretHash(secret),
      ...(text !== '' && { label: text }),
    };
    const sent = await sendConfigChange(client, [{ kind: 'key', id: key, value, basedOn: 0 }]);
    if (!sent.ok) return sent;
    return newOk({ json: { ...sent.value, id: key, key: secret }, text: `${key}\n${secret}` });
  },
};

const showKey: OperatorCommand = {
  command: 'show <id>',
  describe: 'Show a key’s team and label, never the key',
  positionals: { id: idArgument },
  examples: [['show key_5b…', 'whose key it is']],
  run: async (args, client) => {
    const entry = await readConfigEntry(client, 'key', getText(args, 'id'));
    if (!entry.ok) return entry;
    return newOk({ json: getVisibleEntry(entry.value), text: getOutput([entry.value]).text });
  },
};

const listKeys: OperatorCommand = {
  command: 'list',
  describe: 'List keys',
  options: { team: { type: 'string', describe: 'Only of this team' } },
  examples: [['list --team coaches', 'keys of one team']],
  run: async (args, client) => {
    const entries = await readConfigEntries(client, 'key');
    if (!entries.ok) return entries;
    const team = getText(args, 'team');
    return newOk(
      getOutput(
        entries.value.filter(({ value }) => team === '' || (value as ApiKey).team === team),
      ),
    );
  },
};

const changeKey: OperatorCommand = {
  command: 'change <id>',
  describe: 'Change a key’s label',
  positionals: { id: idArgument },
  options: { label: { ...labelOption, demandOption: true } },
  examples: [['change key_5b… --label "old phone app"', 'a new label']],
  run: async (args, client) => {
    const entry = await readConfigEntry(client, 'key', getText(args, 'id'));
    if (!entry.ok) return entry;
    const value = { ...(entry.value.value as ApiKey), label: getText(args, 'label') };
    const change = {
      kind: 'key',
      id: entry.value.id,
      value,
      basedOn: entry.value.revision,
    } as const;
    return changeConfigEntry(client, change, `changed ${entry.value.id}`);
  },
};

const removeKey: OperatorCommand = {
  command: 'remove <id>',
  describe: 'Withdraw a key; its open requests end within seconds',
  positionals: { id: idArgument },
  examples: [['remove key_5b…', 'the key stops everywhere']],
  run: async (args, client) => {
    const entry = await readConfigEntry(client, 'key', getText(args, 'id'));
    if (!entry.ok) return entry;
    const { id: key, revision } = entry.value;
    const change = { kind: 'key', id: key, value: null, basedOn: revision } as const;
    return changeConfigEntry(client, change, `withdrew ${key}`);
  },
};

/** Commands about API keys. */
export const KEY_GROUP: CommandGroup = {
  name: 'key',
  describe: 'Callers’ keys',
  commands: [createKey, showKey, listKeys, changeKey, removeKey],
};
