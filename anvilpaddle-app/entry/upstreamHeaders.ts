/** Headers and paths of callers' requests as they are forwarded to upstreams. */
import type { IncomingHttpHeaders } from 'node:http';

// Only these headers are forwarded, so that a credential in an unknown header is not.
const FORWARDED_HEADERS = [
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

/** Credential of the authorization header, whatever its scheme; undefined if there is none. */
export const getCallerCredential = (headers: IncomingHttpHeaders): string | undefined =>
  /^\S+\s+(\S+)$/.exec(headers.authorization?.trim() ?? '')?.[1];

const containsCredential = (text: string, credential: string | undefined): boolean =>
  credential !== undefined && text.includes(credential);

/** Headers of the caller's request that are forwarded to an upstream. */
export const getUpstreamHeaders = (
  headers: IncomingHttpHeaders,
  credential: string | undefined,
): Record<string, string> =>
  Object.fromEntries(
    FORWARDED_HEADERS.flatMap((name) => {
      const value = headers[name];
      return typeof value === 'string' && !containsCredential(value, credential)
        ? [[name, value] as const]
        : [];
    }),
  );

const isCredentialParam = (name: string, value: string, credential: string | undefined): boolean =>
  CREDENTIAL_PARAMS.has(name.toLowerCase().replace(/[-_.]/g, '')) ||
  containsCredential(name, credential) ||
  containsCredential(value, credential);

/** Path and query that are forwarded to an upstream, without parameters that hold credentials. */
export const getUpstreamPath = (url: URL, credential: string | undefined): string => {
  const params = [...url.searchParams];
  const kept = params.filter(([name, value]) => !isCredentialParam(name, value, credential));
  if (kept.length === params.length) return `${url.pathname}${url.search}`;
  const query = new URLSearchParams(kept).toString();
  return query === '' ? url.pathname : `${url.pathname}?${query}`;
};
