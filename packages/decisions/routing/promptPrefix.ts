/** Hash of the prompt prefix, by which requests are routed to the upstream that has cached it. */
import { getHash } from '@anvilpaddle/common';

const PREFIX_CHARS = 512;

/**
 * Hash of the start of a request's prompt, equal for requests that can share a cached prefix;
 * undefined for prompts too short to be worth caching.
 */
export const getPromptPrefixHash = (
  json: Readonly<Record<string, unknown>>,
): string | undefined => {
  const text = JSON.stringify(json.messages ?? json.prompt ?? '');
  if (text.length < PREFIX_CHARS) return undefined;
  return getHash(`${String(json.model)}\n${text.slice(0, PREFIX_CHARS)}`).toString(36);
};
