import { z } from 'zod';
import { getLevelFaults } from '@anvilpaddle/decisions';
import { newFailure, newOk, readBody, type Result } from '@anvilpaddle/common';
import {
  ENTRY_KIND,
  ENTRY_SCHEMAS,
  entryChangeSchema,
  newApiError,
  type ApiError,
  type EntryChange,
  type EntryKind,
  type Level,
} from '@anvilpaddle/protocol';
import { ACTION_ACCESS, type Action } from '../action';
import { answerJson, newPlatformFailure } from '../apiResult';
import type { Exchange } from '../exchange';
import { parseObject } from '../json';

const requestSchema = z.object({
  author: z.string().max(80).default('operator'),
  changes: z.array(entryChangeSchema).min(1).max(500),
});

const getValueFaults = (change: EntryChange): string[] => {
  if (change.value === null) return [];
  const place = `${change.kind}/${change.id}`;
  const parsed = ENTRY_SCHEMAS[change.kind].safeParse(change.value);
  if (!parsed.success) {
    return parsed.error.issues.map(
      (issue) => `${place}: ${issue.path.join('.')}: ${issue.message}`,
    );
  }
  return change.kind === ENTRY_KIND.settings ? getLevelFaults(change.id, parsed.data as Level) : [];
};

const parseChanges = async (
  exchange: Exchange,
): Promise<Result<z.infer<typeof requestSchema>, ApiError>> => {
  const body = await readBody(exchange.request, exchange.settings['request.max_body']);
  if (!body.ok) return newFailure(newApiError('too_large', 'the body is too large'));
  const json = parseObject(body.value);
  if (!json.ok) return json;
  const parsed = requestSchema.safeParse(json.value);
  const faults = parsed.success
    ? parsed.data.changes.flatMap(getValueFaults)
    : parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  if (!parsed.success || faults.length > 0) {
    return newFailure(newApiError('invalid_request', faults.join('; ')));
  }
  return newOk({
    author: parsed.data.author,
    changes: parsed.data.changes.map((change) => ({
      ...change,
      value: change.value === null ? null : ENTRY_SCHEMAS[change.kind].parse(change.value),
    })),
  });
};

const isEntryKind = (text: string): text is EntryKind => Object.hasOwn(ENTRY_KIND, text);

/** POST /operator/v1/changes: changes entries together, each from the revision it names. */
export const changeEntries: Action = {
  name: 'operator.change',
  method: 'POST',
  path: '/operator/v1/changes',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const request = await parseChanges(exchange);
    if (!request.ok) return request;
    const proposed = await services.config.propose(request.value.author, request.value.changes);
    if (proposed.ok) return answerJson(exchange, { revision: proposed.value });
    if (proposed.error.kind === 'platform') return newPlatformFailure(proposed.error.error);
    const { id, basedOn, actual } = proposed.error;
    return newFailure(
      newApiError('conflict', `${id} is at revision ${actual}; the change builds on ${basedOn}`),
    );
  },
};

/** GET /operator/v1/entries/:kind */
export const listEntries: Action = {
  name: 'operator.entries',
  method: 'GET',
  path: '/operator/v1/entries/:kind',
  access: ACTION_ACCESS.operator,
  run: async (exchange) => {
    const kind = exchange.params.kind ?? '';
    if (!isEntryKind(kind)) return newFailure(newApiError('not_found', `no entries of ${kind}`));
    const entries = [...exchange.config.entries.values()].filter(
      (entry) => entry.kind === kind && entry.value !== null,
    );
    return answerJson(exchange, { revision: exchange.config.revision, entries });
  },
};

/** GET /operator/v1/history?after=N */
export const readHistory: Action = {
  name: 'operator.history',
  method: 'GET',
  path: '/operator/v1/history',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const after = Number(exchange.url.searchParams.get('after') ?? '0');
    const history = await services.config.history(after);
    return history.ok
      ? answerJson(exchange, { changes: history.value })
      : newPlatformFailure(history.error);
  },
};
