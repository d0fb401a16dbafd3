/** Operators' API: reading of configuration entries. */
import { getConfigEntryKey } from '@anvilpaddle/decisions';
import { newFailure } from '@anvilpaddle/common';
import { CONFIG_ENTRY_KIND, newApiError, type ConfigEntryKind } from '@anvilpaddle/protocol';
import { ACTION_ACCESS } from '../action';
import type { Action } from '../types';
import { respondJson, newPlatformFailure } from '../apiResult';

const isEntryKind = (text: string): text is ConfigEntryKind =>
  Object.hasOwn(CONFIG_ENTRY_KIND, text);

/** GET /operator/v1/entries/:kind: all configuration entries of a kind, sorted by id. */
export const listConfigEntries: Action = {
  name: 'operator.entries',
  method: 'GET',
  path: '/operator/v1/entries/:kind',
  access: ACTION_ACCESS.operator,
  run: async (exchange) => {
    const kind = exchange.params.kind ?? '';
    if (!isEntryKind(kind)) return newFailure(newApiError('not_found', `no entries of ${kind}`));
    const entries = [...exchange.config.entries.values()]
      .filter((entry) => entry.kind === kind)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
    return respondJson(exchange, { revision: exchange.config.revision, entries });
  },
};

/** GET /operator/v1/entries/:kind/*id: one configuration entry. */
export const readConfigEntry: Action = {
  name: 'operator.entry',
  method: 'GET',
  path: '/operator/v1/entries/:kind/*id',
  access: ACTION_ACCESS.operator,
  run: async (exchange) => {
    const { kind = '', id = '' } = exchange.params;
    const entry = isEntryKind(kind)
      ? exchange.config.entries.get(getConfigEntryKey(kind, id))
      : undefined;
    return entry === undefined
      ? newFailure(newApiError('not_found', `no ${kind} "${id}"`))
      : respondJson(exchange, entry);
  },
};

/** GET /operator/v1/history?after=N: configuration changes after revision N. */
export const readConfigHistory: Action = {
  name: 'operator.history',
  method: 'GET',
  path: '/operator/v1/history',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) => {
    const after = Number(exchange.url.searchParams.get('after') ?? '0');
    if (!Number.isInteger(after) || after < 0) {
      return newFailure(newApiError('invalid_request', 'after: expected a revision'));
    }
    const history = await dependencies.config.history(after);
    return history.ok
      ? respondJson(exchange, { changes: history.value })
      : newPlatformFailure(history.error);
  },
};
