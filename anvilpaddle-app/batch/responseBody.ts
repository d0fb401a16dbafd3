/** Reads complete responses of the upstream to batch items. */
import { readStream } from '@anvilpaddle/common';
import type { UpstreamResponse } from '../sidecar/upstreamClient';

/** A complete response of the upstream. */
export interface ResponseBody {
  readonly status: number;
  /** JSON value, or text when the body is not JSON. */
  readonly body: unknown;
  /** Output tokens that the response reports; 0 when it reports none. */
  readonly tokens: number;
}

const parseBody = (content: string): { readonly isJson: boolean; readonly value: unknown } => {
  try {
    return { isJson: true, value: JSON.parse(content) as unknown };
  } catch {
    return { isJson: false, value: content };
  }
};

const getCompletionTokens = (value: unknown): number => {
  const usage = (value as { usage?: { completion_tokens?: unknown } } | null)?.usage;
  return typeof usage?.completion_tokens === 'number' ? usage.completion_tokens : 0;
};

/**
 * Reads a response of limited size; undefined when it is truncated, too large, or a success that is
 * not JSON where JSON is expected.
 */
export const readResponseBody = async (
  response: UpstreamResponse,
  maxBytes: number,
  isJsonExpected: boolean,
): Promise<ResponseBody | undefined> => {
  const content = await readStream(response.body, maxBytes).catch(() => undefined);
  if (content === undefined) return undefined;
  const { isJson, value } = parseBody(content.toString());
  if (isJsonExpected && !isJson && response.status < 400) return undefined;
  return { status: response.status, body: value, tokens: isJson ? getCompletionTokens(value) : 0 };
};
