import type { IncomingHttpHeaders } from 'node:http';

// Only named headers go on, so that a credential in an unknown header stays here.
const PASSED_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
  'content-encoding',
  'if-match',
  'if-none-match',
  'user-agent',
] as const;

// Query parameters in which callers put credentials, in lower case and without separators.
const CREDENTIAL_PARAMS = new Set([
  'accesstoken',
  'apikey',
  'auth',
  'authorization',
  'bearer',
  'key',
  'password',
  'secret',
  'subscriptionkey',
  'token',
  'xapikey',
]);

/** Secret that a caller presents; undefined when there is none. */
export const getCallerCredential = (headers: IncomingHttpHeaders): string | undefined =>
  /^\S+\s+(\S+)$/.exec(headers.authorization?.trim() ?? '')?.[1];

const holds = (text: string, secret: string | undefined): boolean =>
  secret !== undefined && text.includes(secret);

/** Headers of the caller's request that an upstream may see. */
export const getUpstreamHeaders = (
  headers: IncomingHttpHeaders,
  secret: string | undefined,
): Record<string, string> =>
  Object.fromEntries(
    PASSED_HEADERS.flatMap((name) => {
      const value = headers[name];
      return typeof value === 'string' && !holds(value, secret) ? [[name, value] as const] : [];
    }),
  );

const isCredential = (name: string, value: string, secret: string | undefined): boolean =>
  CREDENTIAL_PARAMS.has(name.toLowerCase().replace(/[-_.]/g, '')) ||
  holds(name, secret) ||
  holds(value, secret);

/** Path and query for the upstream, without credentials. */
export const getUpstreamPath = (url: URL, secret: string | undefined): string => {
  const params = [...url.searchParams];
  const kept = params.filter(([name, value]) => !isCredential(name, value, secret));
  if (kept.length === params.length) return `${url.pathname}${url.search}`;
  const query = new URLSearchParams(kept).toString();
  return query === '' ? url.pathname : `${url.pathname}?${query}`;
};
