/** Reads and changes configuration entries through the operators' API. */
import { newFailure, newId, newOk, type Result } from '@anvilpaddle/common';
import type { ConfigEntry, ConfigEntryChange, ConfigEntryKind } from '@anvilpaddle/protocol';
import { EXIT_CODE } from './exitCode';
import type { OperatorClient } from './operatorClient';
import {
  getText,
  newCommandFailure,
  type Arguments,
  type CommandError,
  type Output,
} from './operatorCommand';
import { formatTable } from './table';

const MAX_ATTEMPTS = 3;

/** Reads all configuration entries of a kind. */
export const readConfigEntries = async (
  client: OperatorClient,
  kind: ConfigEntryKind,
): Promise<Result<readonly ConfigEntry[], CommandError>> => {
  const response = await client.get(`/entries/${kind}`);
  if (!response.ok) return newCommandFailure(response.error);
  return newOk((response.value as { entries: ConfigEntry[] }).entries);
};

/** Reads one configuration entry; undefined if it does not exist. */
export const findConfigEntry = async (
  client: OperatorClient,
  kind: ConfigEntryKind,
  id: string,
): Promise<Result<ConfigEntry | undefined, CommandError>> => {
  const path = id.split('/').map(encodeURIComponent).join('/');
  const response = await client.get(`/entries/${kind}/${path}`);
  if (response.ok) return newOk(response.value as ConfigEntry);
  return response.error.code === 'not_found' ? newOk(undefined) : newCommandFailure(response.error);
};

/** Reads one configuration entry; a missing entry is a failure. */
export const readConfigEntry = async (
  client: OperatorClient,
  kind: ConfigEntryKind,
  id: string,
): Promise<Result<ConfigEntry, CommandError>> => {
  const found = await findConfigEntry(client, kind, id);
  if (!found.ok) return found;
  if (found.value !== undefined) return newOk(found.value);
  return newFailure({ exitCode: EXIT_CODE.failed, lines: [`no ${kind} "${id}"`] });
};

/** Revision and operation id of an accepted configuration change. */
export interface AcceptedChange {
  readonly revision: number;
  readonly operation: string;
}

/**
 * Sends a configuration change. While its outcome is unknown, it is sent again under the same
 * operation id, so that it takes effect only once.
 */
export const sendConfigChange = async (
  client: OperatorClient,
  changes: readonly ConfigEntryChange[],
): Promise<Result<AcceptedChange, CommandError>> => {
  const operation = newId('op');
  const body = { author: process.env.USER ?? 'operator', operation, changes };
  let response = await client.post('/changes', body);
  for (let attempts = 1; attempts < MAX_ATTEMPTS; attempts += 1) {
    const isOutcomeUnknown =
      !response.ok && (response.error.kind === 'unreachable' || response.error.run === 'unknown');
    if (!isOutcomeUnknown) break;
    response = await client.post('/changes', body);
  }
  if (response.ok) return newOk(response.value as AcceptedChange);
  return newCommandFailure(response.error);
};

/** Output of an accepted change: its description and its revision. */
export const getChangeOutput = (accepted: AcceptedChange, description: string): Output => ({
  json: accepted,
  text: `${description} (revision ${accepted.revision})`,
});

/** Sends the change of one configuration entry and returns the output to print. */
export const changeConfigEntry = async (
  client: OperatorClient,
  change: ConfigEntryChange,
  description: string,
): Promise<Result<Output, CommandError>> => {
  const sent = await sendConfigChange(client, [change]);
  return sent.ok ? newOk(getChangeOutput(sent.value, description)) : sent;
};

/** Changes the entry that a command's argument of the same name as its kind names. */
export const changeNamedEntry = async <Kind extends 'team' | 'route'>(
  client: OperatorClient,
  args: Arguments,
  kind: Kind,
  getValue: (current: ConfigEntry['value']) => ConfigEntry['value'],
): Promise<Result<Output, CommandError>> => {
  const id = getText(args, kind);
  const entry = await readConfigEntry(client, kind, id);
  if (!entry.ok) return entry;
  const value = getValue(entry.value.value);
  const basedOn = Number(args['based-on'] ?? entry.value.revision);
  return changeConfigEntry(client, { kind, id, value, basedOn }, `changed ${kind} ${id}`);
};

/** Output of configuration entries, as JSON and as a table. */
export const getConfigEntriesOutput = (
  entries: readonly ConfigEntry[],
  columns: readonly string[],
  getCells: (entry: ConfigEntry) => readonly string[],
): Output => ({
  json: entries,
  text: formatTable(
    ['name', 'revision', ...columns],
    [...entries.map((entry) => [entry.id, String(entry.revision), ...getCells(entry)])],
  ),
});
