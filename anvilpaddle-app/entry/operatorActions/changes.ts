import { z } from 'zod';
import { getChangeErrors } from '@anvilpaddle/decisions';
import { newFailure, newId, newOk, readBody, type Result } from '@anvilpaddle/common';
import {
  CONFIG_ENTRY_SCHEMAS,
  configEntryChangeSchema,
  newApiError,
  type ApiError,
  type ConfigEntryChange,
} from '@anvilpaddle/protocol';
import type { ConfigChangeError } from '../../controllers/configController';
import { ACTION_ACCESS } from '../action';
import type { Action, Exchange } from '../types';
import { answerJson, getPlatformApiError } from '../apiResult';
import { parseObject } from '../json';

const requestSchema = z.strictObject({
  author: z.string().max(80).default('operator'),
  /** Name of the operation; the same one sent again gives the same answer. */
  operation: z
    .string()
    .regex(/^[A-Za-z0-9_-]{8,80}$/, 'expected 8 to 80 letters, digits, _ or -')
    .optional(),
  changes: z.array(configEntryChangeSchema).min(1).max(500),
});
type ChangeRequest = z.infer<typeof requestSchema>;

const newInvalidError = (faults: readonly string[]): ApiError =>
  newApiError('invalid_request', faults.join('; '), { details: faults });

const getChangeApiError = (error: ConfigChangeError, operation: string): ApiError => {
  switch (error.kind) {
    case 'conflict': {
      const { id, basedOn, actual } = error;
      const message = `${id} is at revision ${actual}; the change builds on ${basedOn}`;
      return newApiError('conflict', message);
    }
    case 'invalid':
      return newInvalidError(error.problems);
    case 'operation_reused':
      return newApiError('conflict', `operation ${operation} was another change`);
    case 'unconfirmed': {
      const message = `operation ${operation} is stored as revision ${error.revision}, but too few entries confirm it; ask again`;
      return newApiError('platform_unavailable', message, { run: 'unknown' });
    }
    default: {
      const platformError = getPlatformApiError(error.error);
      if (platformError.run !== 'unknown') return platformError;
      const message = `the outcome of operation ${operation} is not known; ask again`;
      return { ...platformError, message };
    }
  }
};

const getTypedChange = (change: ConfigEntryChange): ConfigEntryChange => ({
  ...change,
  value: change.value === null ? null : CONFIG_ENTRY_SCHEMAS[change.kind].parse(change.value),
});

const parseChanges = async (exchange: Exchange): Promise<Result<ChangeRequest, ApiError>> => {
  const body = await readBody(exchange.request, exchange.settings['request.max_body']);
  if (!body.ok) return newFailure(newApiError('too_large', 'the body is too large'));
  const json = parseObject(body.value);
  if (!json.ok) return json;
  const parsed = requestSchema.safeParse(json.value);
  if (!parsed.success) {
    const { issues } = parsed.error;
    return newFailure(newInvalidError(issues.map((i) => `${i.path.join('.')}: ${i.message}`)));
  }
  const faults = parsed.data.changes.flatMap(getChangeErrors);
  if (faults.length > 0) return newFailure(newInvalidError(faults));
  return newOk({ ...parsed.data, changes: parsed.data.changes.map(getTypedChange) });
};

/** POST /operator/v1/changes: changes entries together, each from the revision it names. */
export const changeEntries: Action = {
  name: 'operator.change',
  method: 'POST',
  path: '/operator/v1/changes',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const request = await parseChanges(exchange);
    if (!request.ok) return request;
    const operation = request.value.operation ?? newId('op');
    const proposed = await services.config.propose({ ...request.value, operation });
    if (proposed.ok) return answerJson(exchange, { revision: proposed.value, operation });
    return newFailure(getChangeApiError(proposed.error, operation));
  },
};

/** GET /operator/v1/operations/:id: what became of a change whose answer was lost. */
export const readOperation: Action = {
  name: 'operator.operation',
  method: 'GET',
  path: '/operator/v1/operations/:id',
  access: ACTION_ACCESS.operator,
  run: async (exchange, services) => {
    const operation = exchange.params.id ?? '';
    const found = await services.config.findOperation(operation);
    if (!found.ok) return newFailure(getChangeApiError(found.error, operation));
    if (found.value !== undefined) {
      return answerJson(exchange, { operation, revision: found.value });
    }
    return newFailure(newApiError('not_found', `operation ${operation} is not accepted so far`));
  },
};
