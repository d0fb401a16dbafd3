import { getSecretHash } from '@anvilpaddle/common';
import type { Exchange } from './types';

const MIN_SECRET_LENGTH = 8;
const MAX_DECODINGS = 3;

/** Text with its percent encodings undone, however often they were applied. */
const getDecoded = (text: string): string[] => {
  const forms = [text];
  for (let round = 0; round < MAX_DECODINGS; round += 1) {
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

/** Credential of the caller: the word behind the scheme of the authorization header. */
export const getBearerToken = (exchange: Exchange): string | undefined =>
  /^Bearer\s+(\S+)$/i.exec(exchange.request.headers.authorization ?? '')?.[1];

/**
 * Removes the caller's credential from the query and from the headers that go on to an upstream,
 * by its value and so under any name: what the caller presented, and whatever is a valid key.
 */
export const stripCredentials = (exchange: Exchange): void => {
  const presented = getBearerToken(exchange);
  const isPresented = (text: string): boolean =>
    presented !== undefined && presented.length >= MIN_SECRET_LENGTH && text.includes(presented);
  const isKey = (text: string): boolean =>
    exchange.config.apiKeysByHash.has(getSecretHash(text.replace(/^Bearer\s+/i, '').trim()));
  const isCredential = (text: string): boolean =>
    getDecoded(text).some((form) => isPresented(form) || isKey(form));

  const { searchParams } = exchange.url;
  const kept = [...searchParams].filter((param) => !param.some(isCredential));
  if (kept.length < searchParams.size) exchange.url.search = String(new URLSearchParams(kept));

  const { headers } = exchange.request;
  Object.entries(headers).forEach(([name, value]) => {
    if ([value ?? []].flat().some(isCredential)) delete headers[name];
  });
};
