import { newFailure, newId, newOk, type Result } from '@anvilpaddle/common';
import type { ConfigEntry, ConfigEntryChange, ConfigEntryKind } from '@anvilpaddle/protocol';
import { EXIT_CODE } from './exitCode';
import type { OperatorClient } from './operatorClient';
import { newCommandFailure, type CommandError, type Output } from './operatorCommand';
import { formatTable } from './table';

const SENDS = 3;

/** Reads all entries of a kind. */
export const readConfigEntries = async (
  client: OperatorClient,
  kind: ConfigEntryKind,
): Promise<Result<readonly ConfigEntry[], CommandError>> => {
  const answer = await client.get(`/entries/${kind}`);
  if (!answer.ok) return newCommandFailure(answer.error);
  return newOk((answer.value as { entries: ConfigEntry[] }).entries);
};

/** Reads one entry; undefined when there is none. */
export const findConfigEntry = async (
  client: OperatorClient,
  kind: ConfigEntryKind,
  id: string,
): Promise<Result<ConfigEntry | undefined, CommandError>> => {
  const path = id.split('/').map(encodeURIComponent).join('/');
  const answer = await client.get(`/entries/${kind}/${path}`);
  if (answer.ok) return newOk(answer.value as ConfigEntry);
  return answer.error.code === 'not_found' ? newOk(undefined) : newCommandFailure(answer.error);
};

/** Reads one entry that has to exist. */
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

/** Outcome of an accepted change. */
export interface AcceptedChange {
  readonly revision: number;
  readonly operation: string;
}

/**
 * Sends a change, and again under the same operation id while its outcome is not known, so that it
 * takes effect once.
 */
export const sendConfigChange = async (
  client: OperatorClient,
  changes: readonly ConfigEntryChange[],
): Promise<Result<AcceptedChange, CommandError>> => {
  const operation = newId('op');
  const body = { author: process.env.USER ?? 'operator', operation, changes };
  let answer = await client.post('/changes', body);
  for (let sends = 1; sends < SENDS; sends += 1) {
    const isOpen =
      !answer.ok && (answer.error.kind === 'unreachable' || answer.error.run === 'unknown');
    if (!isOpen) break;
    answer = await client.post('/changes', body);
  }
  if (answer.ok) return newOk(answer.value as AcceptedChange);
  return newCommandFailure(answer.error);
};

/** Output of a change: what was done and the revision it has. */
export const getChangeOutput = (accepted: AcceptedChange, done: string): Output => ({
  json: accepted,
  text: `${done} (revision ${accepted.revision})`,
});

/** Sends the change of one entry. */
export const changeConfigEntry = async (
  client: OperatorClient,
  change: ConfigEntryChange,
  done: string,
): Promise<Result<Output, CommandError>> => {
  const sent = await sendConfigChange(client, [change]);
  return sent.ok ? newOk(getChangeOutput(sent.value, done)) : sent;
};

/** Output of entries as a table. */
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
