/** Position in an engine's stream of events, so that another engine can resume the stream. */

/** A server-sent event. */
export interface StreamEvent {
  readonly event?: string | undefined;
  readonly data: string;
}

/** Result of an engine's event: relayed (`token`, `pass`, `end`), dropped, or invalid (`bad`). */
export type ProcessedEvent =
  | { readonly kind: 'token' | 'pass' | 'end'; readonly event: StreamEvent }
  | { readonly kind: 'drop' }
  | { readonly kind: 'bad' };

/** Position of a caller in an engine's stream, counted in tokens. */
export interface StreamPosition {
  /** Starts the segment of the next engine. */
  beginSegment(): void;
  /** Handles the next event of the current segment. */
  accept(event: StreamEvent, isFromOtherAttempt: (json: unknown) => boolean): ProcessedEvent;
  /** Request body that resumes after the relayed tokens; undefined if the stream can't resume. */
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

const isNonEmpty = (value: unknown): boolean =>
  Array.isArray(value) ? value.length > 0 : typeof value === 'string' && value !== '';

const hasTokenContent = ({ text, delta }: Choice): boolean =>
  isNonEmpty(text) ||
  Object.entries(delta ?? {}).some(([name, value]) => name !== 'role' && isNonEmpty(value));

const getResumeOffset = (request: Readonly<Record<string, unknown>>): number => {
  const resume = request.resume as { readonly tokens?: unknown } | undefined;
  return typeof resume?.tokens === 'number' ? resume.tokens : 0;
};

/** Creates the position at the start of a response; an engine sends one token per event. */
export const newStreamPosition = (request: Readonly<Record<string, unknown>>): StreamPosition => {
  let segments = 0;
  let tokens = 0;
  let isFinished = false;
  let firstChunk: Chunk | undefined;

  /** Gives later segments the first chunk's id and time, so that the caller sees one stream. */
  const withFirstChunkIds = (event: StreamEvent, chunk: Chunk): StreamEvent => {
    if (segments === 1 || firstChunk === undefined) return event;
    const { id, created } = firstChunk;
    return { ...event, data: JSON.stringify({ ...chunk, id, created }) };
  };

  const acceptChunk = (event: StreamEvent, chunk: Chunk): ProcessedEvent => {
    const choices = chunk.choices ?? [];
    const hasToken = choices.some(hasTokenContent);
    const hasFinish = choices.some(({ finish_reason: reason }) => isNonEmpty(reason));
    // A later segment repeats what the caller already has: the opening event with the role, and
    // the finish reason if the stream was cut after it.
    const isRepeated = isFinished || (tokens > 0 && segments > 1 && !hasToken && !hasFinish);
    if (choices.length > 0 && isRepeated) return { kind: 'drop' };
    const callerEvent = withFirstChunkIds(event, chunk);
    firstChunk ??= chunk;
    isFinished ||= hasFinish;
    if (!hasToken) return { kind: 'pass', event: callerEvent };
    tokens += 1;
    return { kind: 'token', event: callerEvent };
  };

  return {
    beginSegment: () => {
      segments += 1;
    },
    accept: (event, isFromOtherAttempt) => {
      if (event.data === STREAM_END) return { kind: 'end', event };
      const chunk = parseChunk(event.data);
      if (chunk === undefined || isFromOtherAttempt(chunk)) return { kind: 'bad' };
      return acceptChunk(event, chunk);
    },
    getResumeRequestBody: () => {
      // One token count can't describe the position in a stream with several choices.
      if (typeof request.n === 'number' && request.n !== 1) return undefined;
      const resume = { tokens: getResumeOffset(request) + tokens };
      return Buffer.from(JSON.stringify({ ...request, resume }));
    },
  };
};
