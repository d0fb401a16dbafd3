import type { UpstreamResponse } from '../sidecar/upstreamClient';

/** A whole answer of the upstream. */
export interface ResponseBody {
  readonly status: number;
  /** JSON value, or text when it is not JSON. */
  readonly body: unknown;
  /** Output tokens that the answer reports. */
  readonly tokens: number;
}

const parseBody = (content: string): { readonly isJson: boolean; readonly value: unknown } => {
  try {
    return { isJson: true, value: JSON.parse(content) as unknown };
  } catch {
    return { isJson: false, value: content };
  }
};

const getTokens = (value: unknown): number => {
  const usage = (value as { usage?: { completion_tokens?: unknown } } | null)?.usage;
  return typeof usage?.completion_tokens === 'number' ? usage.completion_tokens : 0;
};

const readBytes = async (
  answer: UpstreamResponse,
  limitBytes: number,
): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of answer.body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};

/** Reads an answer within a bound; undefined when it is cut, too large, or not the JSON it must be. */
export const readResponseBody = async (
  answer: UpstreamResponse,
  limitBytes: number,
  isJsonExpected: boolean,
): Promise<ResponseBody | undefined> => {
  const content = await readBytes(answer, limitBytes).catch(() => undefined);
  if (content === undefined) return undefined;
  const { isJson, value } = parseBody(content.toString());
  if (isJsonExpected && !isJson && answer.status < 400) return undefined;
  return { status: answer.status, body: value, tokens: isJson ? getTokens(value) : 0 };
};
