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

// Query parameters in which callers put credentials.
const CREDENTIAL_PARAMS = new Set(['key', 'api_key', 'apikey', 'api-key', 'access_token', 'token']);

/** Headers of the caller's request that an upstream may see. */
export const getUpstreamHeaders = (headers: IncomingHttpHeaders): Record<string, string> =>
  Object.fromEntries(
    PASSED_HEADERS.flatMap((name) => {
      const value = headers[name];
      return typeof value === 'string' ? [[name, value] as const] : [];
    }),
  );

/** Path and query for the upstream, without credentials. */
export const getUpstreamPath = (url: URL): string => {
  const query = new URLSearchParams(
    [...url.searchParams].filter(([name]) => !CREDENTIAL_PARAMS.has(name.toLowerCase())),
  ).toString();
  return query === '' ? url.pathname : `${url.pathname}?${query}`;
};
