/** Operators' API: changes of the configuration. */
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
import { respondJson, getPlatformApiError } from '../apiResult';
import { parseJsonObject } from '../parseJsonObject';

const requestSchema = z.strictObject({
  author: z.string().max(80).default('operator'),
  /** Idempotency key of the change: sent again, the same operation gives the same response. */
  operation: z
    .string()
    .regex(/^[A-Za-z0-9_-]{8,80}$/, 'expected 8 to 80 letters, digits, _ or -')
    .optional(),
  changes: z.array(configEntryChangeSchema).min(1).max(500),
});
type ChangeRequest = z.infer<typeof requestSchema>;

const newInvalidError = (errors: readonly string[]): ApiError =>
  newApiError('invalid_request', errors.join('; '), { details: errors });

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

const parseChangeValue = (change: ConfigEntryChange): ConfigEntryChange => ({
  ...change,
  value: change.value === null ? null : CONFIG_ENTRY_SCHEMAS[change.kind].parse(change.value),
});

const parseChanges = async (exchange: Exchange): Promise<Result<ChangeRequest, ApiError>> => {
  const body = await readBody(exchange.request, exchange.settings['request.max_body']);
  if (!body.ok) return newFailure(newApiError('too_large', 'the body is too large'));
  const json = parseJsonObject(body.value);
  if (!json.ok) return json;
  const parsed = requestSchema.safeParse(json.value);
  if (!parsed.success) {
    const { issues } = parsed.error;
    return newFailure(
      newInvalidError(issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`)),
    );
  }
  const errors = parsed.data.changes.flatMap(getChangeErrors);
  if (errors.length > 0) return newFailure(newInvalidError(errors));
  return newOk({ ...parsed.data, changes: parsed.data.changes.map(parseChangeValue) });
};

/** POST /operator/v1/changes: changes configuration entries together, each based on a revision. */
export const changeConfigEntries: Action = {
  name: 'operator.change',
  method: 'POST',
  path: '/operator/v1/changes',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) => {
    const request = await parseChanges(exchange);
    if (!request.ok) return request;
    const operation = request.value.operation ?? newId('op');
    const accepted = await dependencies.config.propose({ ...request.value, operation });
    if (accepted.ok) return respondJson(exchange, { revision: accepted.value, operation });
    return newFailure(getChangeApiError(accepted.error, operation));
  },
};

/** GET /operator/v1/operations/:id: outcome of a change, for a client that lost the response. */
export const readConfigOperation: Action = {
  name: 'operator.operation',
  method: 'GET',
  path: '/operator/v1/operations/:id',
  access: ACTION_ACCESS.operator,
  run: async (exchange, dependencies) => {
    const operation = exchange.params.id ?? '';
    const found = await dependencies.config.findOperation(operation);
    if (!found.ok) return newFailure(getChangeApiError(found.error, operation));
    if (found.value !== undefined) {
      return respondJson(exchange, { operation, revision: found.value });
    }
    return newFailure(newApiError('not_found', `operation ${operation} is not accepted so far`));
  },
};
