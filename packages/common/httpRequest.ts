/**
 * Sends HTTP requests over undici. A response whose head is not sound fails the request, and the
 * fields of the others hold a character for each byte, as those of Node.js do.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { DecoratorHandler, getGlobalDispatcher, request, type Dispatcher } from 'undici';
import { getHeadFault, UnsoundHeadError } from './responseHead';

/** Options of a request; without a dispatcher, the process's own sends it. */
export type HttpRequestOptions = NonNullable<Parameters<typeof request>[1]>;

/** Called with the fields of a response, names and values alternating. */
type OnFields = (fields: readonly string[]) => void;

const LATIN_1 = 'latin1';

/** Fields by name in lower case, with a list of values for those that come several times. */
const getHeaders = (fields: readonly string[]): IncomingHttpHeaders => {
  // Fields may have names that other objects inherit, such as `constructor`.
  const headers = Object.create(null) as Record<string, string | string[]>;
  for (let index = 0; index < fields.length; index += 2) {
    const name = (fields[index] ?? '').toLowerCase();
    const value = fields[index + 1] ?? '';
    const known = headers[name];
    headers[name] = known === undefined ? value : [known, value].flat();
  }
  return headers;
};

const isInterim = (status: number): boolean => status >= 100 && status < 200;

/** Handler that refuses unsound heads, and keeps the fields from undici, which reads them as UTF-8. */
class HeadCheck extends DecoratorHandler {
  readonly #handler: Dispatcher.DispatchHandlers;

  readonly #onFields: OnFields;

  constructor(handler: Dispatcher.DispatchHandlers, onFields: OnFields) {
    super(handler);
    this.#handler = handler;
    this.#onFields = onFields;
  }

  /** An error that is thrown here fails the request and closes its connection. */
  onHeaders(status: number, rawFields: Buffer[], resume: () => void, reason: string): boolean {
    const fields = rawFields.map((bytes) => bytes.toString(LATIN_1));
    // undici has read the reason phrase as UTF-8, and does not tell the version.
    const reasonBytes = Buffer.from(reason).toString(LATIN_1);
    const head = { version: undefined, status, reason: reasonBytes, fields };
    const fault = isInterim(status) ? undefined : getHeadFault(head);
    if (fault !== undefined) throw new UnsoundHeadError(fault);
    this.#onFields(fields);
    return this.#handler.onHeaders?.(status, [], resume, reason) ?? true;
  }

  onComplete(): void {
    this.#handler.onComplete?.([]);
  }
}

/** Sends a request; resolves with the head of its response, whose body is still to be read. */
export const requestHttp = async (
  url: string,
  options: HttpRequestOptions,
): Promise<Dispatcher.ResponseData> => {
  let headers: IncomingHttpHeaders = {};
  const onFields: OnFields = (fields) => {
    headers = getHeaders(fields);
  };
  const dispatcher = (options.dispatcher ?? getGlobalDispatcher()).compose(
    (dispatch) => (dispatchOptions, handler) =>
      dispatch(dispatchOptions, new HeadCheck(handler, onFields)),
  );
  const response = await request(url, { ...options, dispatcher });
  return { ...response, headers };
};
