/** One server-sent event. */
export interface StreamEvent {
  readonly event?: string | undefined;
  readonly data: string;
}

/** What becomes of an engine's event. */
export type ProcessedEvent =
  | { readonly kind: 'token' | 'pass' | 'end'; readonly event: StreamEvent }
  | { readonly kind: 'drop' }
  | { readonly kind: 'bad' };

/** How far a caller has got in an engine's stream. */
export interface StreamPosition {
  /** Another engine's part begins. */
  beginSegment(): void;
  accept(event: StreamEvent, isCrossed: (json: unknown) => boolean): ProcessedEvent;
  /** Request body that goes on after the tokens passed; undefined when the stream can't resume. */
  getResumeRequestBody(): Buffer | undefined;
}

const STREAM_END = '[DONE]';

interface Choice {
  readonly text?: string;
  readonly delta?: Readonly<Record<string, unknown>>;
  readonly finish_reason?: string | null;
}

type Chunk = Readonly<Record<string, unknown>> & { readonly choices?: readonly Choice[] };

const parseChunk = (data: string): Chunk | undefined => {
  try {
    const json: unknown = JSON.parse(data);
    if (typeof json !== 'object' || json === null || 'error' in json) return undefined;
    return json as Chunk;
  } catch {
    return undefined;
  }
};

const isFilled = (value: unknown): boolean =>
  Array.isArray(value) ? value.length > 0 : typeof value === 'string' && value !== '';

const isToken = ({ text, delta }: Choice): boolean =>
  isFilled(text) ||
  Object.entries(delta ?? {}).some(([name, value]) => name !== 'role' && isFilled(value));

const getResumeStart = (request: Readonly<Record<string, unknown>>): number => {
  const resume = request.resume as { readonly tokens?: unknown } | undefined;
  return typeof resume?.tokens === 'number' ? resume.tokens : 0;
};

/** Position at the start of the answer to a request; an engine sends one token with an event. */
export const newStreamPosition = (request: Readonly<Record<string, unknown>>): StreamPosition => {
  let parts = 0;
  let tokens = 0;
  let isFinished = false;
  let first: Chunk | undefined;

  /** Chunks of a later part bear the names of the first, so that the caller sees one stream. */
  const getRenamed = (event: StreamEvent, chunk: Chunk): StreamEvent => {
    if (parts === 1 || first === undefined) return event;
    const { id, created } = first;
    return { ...event, data: JSON.stringify({ ...chunk, id, created }) };
  };

  const acceptChunk = (event: StreamEvent, chunk: Chunk): ProcessedEvent => {
    const choices = chunk.choices ?? [];
    const hasToken = choices.some(isToken);
    const hasFinish = choices.some(({ finish_reason: reason }) => isFilled(reason));
    const isRepeated = isFinished || (tokens > 0 && parts > 1 && !hasToken && !hasFinish);
    if (choices.length > 0 && isRepeated) return { kind: 'drop' };
    const renamed = getRenamed(event, chunk);
    first ??= chunk;
    isFinished ||= hasFinish;
    if (!hasToken) return { kind: 'pass', event: renamed };
    tokens += 1;
    return { kind: 'token', event: renamed };
  };

  return {
    beginSegment: () => {
      parts += 1;
    },
    accept: (event, isCrossed) => {
      if (event.data === STREAM_END) return { kind: 'end', event };
      const chunk = parseChunk(event.data);
      if (chunk === undefined || isCrossed(chunk)) return { kind: 'bad' };
      return acceptChunk(event, chunk);
    },
    getResumeRequestBody: () => {
      // The position of several choices in one stream can't be told by one number.
      if (typeof request.n === 'number' && request.n !== 1) return undefined;
      const resume = { tokens: getResumeStart(request) + tokens };
      return Buffer.from(JSON.stringify({ ...request, resume }));
    },
  };
};
