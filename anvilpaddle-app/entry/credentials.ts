/** Removal of callers' credentials from requests that are forwarded. */
import { getSecretHash } from '@anvilpaddle/common';
import type { Exchange } from './types';

/** Bearer tokens shorter than this are not searched for in other text. */
const MIN_TOKEN_LENGTH = 8;
const MAX_DECODINGS = 3;

/** The text and its forms after each percent-decoding, at most `MAX_DECODINGS` times. */
const getDecodedForms = (text: string): string[] => {
  const forms = [text];
  for (let decoding = 0; decoding < MAX_DECODINGS; decoding += 1) {
    try {
      const next = decodeURIComponent(forms.at(-1) ?? '');
      if (next === forms.at(-1)) return forms;
      forms.push(next);
    } catch {
      return forms;
    }
  }
  return forms;
};

/** Bearer token of the authorization header; undefined if there is none. */
export const getBearerToken = (exchange: Exchange): string | undefined =>
  /^Bearer\s+(\S+)$/i.exec(exchange.request.headers.authorization ?? '')?.[1];

/**
 * Removes credentials from the query and the headers before they are forwarded to an upstream:
 * every parameter or header, whatever its name, that contains the caller's bearer token or is a
 * valid API key.
 */
export const stripCredentials = (exchange: Exchange): void => {
  const bearerToken = getBearerToken(exchange);
  const containsBearerToken = (text: string): boolean =>
    bearerToken !== undefined &&
    bearerToken.length >= MIN_TOKEN_LENGTH &&
    text.includes(bearerToken);
  const isApiKey = (text: string): boolean =>
    exchange.config.apiKeysByHash.has(getSecretHash(text.replace(/^Bearer\s+/i, '').trim()));
  const isCredential = (text: string): boolean =>
    getDecodedForms(text).some((form) => containsBearerToken(form) || isApiKey(form));

  const { searchParams } = exchange.url;
  const kept = [...searchParams].filter((param) => !param.some(isCredential));
  if (kept.length < searchParams.size) exchange.url.search = String(new URLSearchParams(kept));

  const { headers } = exchange.request;
  Object.entries(headers).forEach(([name, value]) => {
    if ([value ?? []].flat().some(isCredential)) delete headers[name];
  });
};
