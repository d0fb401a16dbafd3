/** Parsing and validation of the lines of a batch job's input. */
import { z } from 'zod';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import type { Route, Team } from '@anvilpaddle/protocol';

/** Maximum length of a line of an input file. */
export const MAX_LINE_BYTES = 1_048_576;

/** Format of a line. */
const itemSchema = z.object({
  custom_id: z.string().min(1).max(512),
  method: z.string().min(1),
  url: z.string().startsWith('/'),
  body: z.unknown(),
});

/** One request of a batch job, from one line of its input. */
export interface Item {
  readonly customId: string;
  readonly method: string;
  readonly url: string;
  readonly body: unknown;
  /** Model that the item names; undefined unless the route is a model route. */
  readonly model: string | undefined;
  /** Maximum number of output tokens, if the body sets one. */
  readonly maxTokens: number | undefined;
  /** Whether the item may be run more than once. */
  readonly isRepeatable: boolean;
}

/** Why an item ends without a response. */
export interface ItemError {
  readonly code: string;
  readonly message: string;
  readonly param?: string | undefined;
}

/** Error result of a line that is not a valid item, with its custom id if it has one. */
export interface InvalidItem {
  readonly customId: string | null;
  readonly error: ItemError;
}

/** Endpoint, route and team against which items are validated. */
export interface ItemRules {
  readonly endpoint: string;
  /** Undefined if the route was removed. */
  readonly route: Route | undefined;
  readonly routeName: string;
  /** Undefined if the team was removed. */
  readonly team: Team | undefined;
}

/**
 * Placeholder that is stored instead of a line over the size limit, with the line's length and the
 * custom id found in its head.
 */
export const getOversizePlaceholder = (head: string, bytes: number): string => {
  const customId = /"custom_id"\s*:\s*("(?:[^"\\]|\\.)*")/.exec(head)?.[1];
  return `{"custom_id":${customId ?? 'null'},"oversize_bytes":${bytes}}`;
};

const getCustomId = (value: unknown): string | null => {
  if (typeof value !== 'object' || value === null || !('custom_id' in value)) return null;
  return typeof value.custom_id === 'string' ? value.custom_id : null;
};

const parseJson = (line: string): unknown => {
  try {
    return JSON.parse(line) as unknown;
  } catch {
    return undefined;
  }
};

const getField = (body: unknown, name: string): unknown =>
  typeof body === 'object' && body !== null ? (body as Record<string, unknown>)[name] : undefined;

/** Whether a URL has the endpoint's path, or lies below an endpoint that ends with a slash. */
const matchesEndpoint = (endpoint: string, url: string): boolean => {
  const path = url.split('?', 1)[0] ?? '';
  if (path.split('/').includes('..')) return false;
  return path === endpoint || (endpoint.endsWith('/') && path.startsWith(endpoint));
};

const getModelError = (body: unknown, team: Team): ItemError | undefined => {
  const model = getField(body, 'model');
  if (typeof model !== 'string') {
    return { code: 'invalid_request', message: 'model: expected a string', param: 'body.model' };
  }
  if (getField(body, 'stream') === true) {
    const message = 'stream: not allowed in a batch';
    return { code: 'invalid_request', message, param: 'body.stream' };
  }
  if (team.models === undefined || team.models.includes(model)) return undefined;
  const message = `the team may not use model ${model}`;
  return { code: 'forbidden', message, param: 'body.model' };
};

/** Checks an item against its job's endpoint, route and team. */
const getRuleError = (
  item: z.infer<typeof itemSchema>,
  rules: ItemRules,
): ItemError | undefined => {
  const { endpoint, route, routeName, team } = rules;
  if (!matchesEndpoint(endpoint, item.url)) {
    const message = `url: expected the job's endpoint ${endpoint}`;
    return { code: 'invalid_request', message, param: 'url' };
  }
  if (route === undefined) return { code: 'not_found', message: `no route for ${endpoint}` };
  if (team === undefined || (team.routes !== undefined && !team.routes.includes(routeName))) {
    return { code: 'forbidden', message: `the team may not use ${routeName}` };
  }
  if (route.kind !== 'model') return undefined;
  if (item.method !== 'POST') {
    return { code: 'invalid_request', message: 'method: expected POST', param: 'method' };
  }
  return getModelError(item.body, team);
};

const getMaxTokens = (body: unknown): number | undefined => {
  const value = getField(body, 'max_tokens') ?? getField(body, 'max_completion_tokens');
  return typeof value === 'number' ? value : undefined;
};

/** Parses and validates a line; fails with the error result of the line. */
export const parseItem = (line: string, rules: ItemRules): Result<Item, InvalidItem> => {
  const value = parseJson(line);
  const customId = getCustomId(value);
  const oversize = getField(value, 'oversize_bytes');
  if (typeof oversize === 'number' && getField(value, 'method') === undefined) {
    const message = `the line has ${oversize} bytes, allowed are ${MAX_LINE_BYTES}`;
    return newFailure({ customId, error: { code: 'too_large', message } });
  }
  const parsed = itemSchema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const param = issue?.path.join('.') ?? '';
    const message = value === undefined ? 'the line is not JSON' : `${param}: ${issue?.message}`;
    return newFailure({ customId, error: { code: 'invalid_request', message, param } });
  }
  const error = getRuleError(parsed.data, rules);
  if (error !== undefined) return newFailure({ customId, error });
  const { method, url, body } = parsed.data;
  const isModel = rules.route?.kind === 'model';
  return newOk({
    customId: parsed.data.custom_id,
    method,
    url,
    body,
    model: isModel ? String(getField(body, 'model')) : undefined,
    maxTokens: getMaxTokens(body),
    isRepeatable: isModel || (rules.route?.idempotentMethods.includes(method) ?? false),
  });
};

/** Model that a line names, without validation of the line. */
export const getLineModel = (line: string): string | undefined => {
  const model = getField(getField(parseJson(line), 'body'), 'model');
  return typeof model === 'string' ? model : undefined;
};
