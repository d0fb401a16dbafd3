/**
 * Decides whether the head of a response is sound, by RFC 9110 and RFC 9112. The parsers of Node.js
 * and undici pass on more, each version its own. What is sound can be written to a caller.
 */

/** Head of a final response as its parser passes it on. */
export interface ResponseHead {
  /** Version of HTTP, such as `1.1`; undefined where the parser does not tell it. */
  readonly version: string | undefined;
  readonly status: number;
  /** Reason phrase, which may be empty. */
  readonly reason: string;
  /** Names and values, alternating, with a character for each byte. */
  readonly fields: readonly string[];
}

/** Error of a response whose head is not sound; its request may have run. */
export class UnsoundHeadError extends Error {
  constructor(fault: string) {
    super(`unsound head: ${fault}`);
  }
}

/** Lowest and highest status of a final response. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Versions whose messages are those of RFC 9112. */
const VERSION = /^1\.\d$/;
const VERSION_WITHOUT_CODINGS = '1.0';
/** The only transfer coding that may be sent to a client which asks for none. */
const CHUNKED = 'chunked';
/** Status of a response that has no body, and so no length. */
const NO_CONTENT = 204;

/** Node.js leaves out the fields of a head beyond this number of names and values. */
const MAX_FIELD_TEXTS = 2000;
/** Number of characters of a head that a fault quotes. */
const MAX_QUOTED_CHARS = 40;

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Character that no field value and no reason phrase has: a control character, or one that is no single byte. */
const NOT_OF_TEXT = /[^\t\x20-\x7e\x80-\xff]/;
const LENGTH = /^\d+$/;

const quote = (text: string): string => JSON.stringify(text.slice(0, MAX_QUOTED_CHARS));

/** Values of all fields with a name, which is given in lower case. */
const getValues = (fields: readonly string[], name: string): string[] =>
  fields.filter((_, index) => index % 2 === 1 && fields[index - 1]?.toLowerCase() === name);

const getFieldFault = (fields: readonly string[]): string | undefined => {
  if (fields.length > MAX_FIELD_TEXTS) return 'too many fields';
  const isName = (index: number): boolean => index % 2 === 0;
  const bad = fields.findIndex((text, index) =>
    isName(index) ? !TOKEN.test(text) : NOT_OF_TEXT.test(text),
  );
  const text = fields[bad];
  if (text === undefined) return undefined;
  return `the field ${isName(bad) ? 'name' : 'value'} ${quote(text)}`;
};

const isFinalStatus = (status: number): boolean =>
  status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;

const getFirstLineFault = ({ version, status, reason }: ResponseHead): string | undefined => {
  if (version !== undefined && !VERSION.test(version)) return `the version ${quote(version)}`;
  if (!isFinalStatus(status)) return `the status ${status}`;
  return NOT_OF_TEXT.test(reason) ? `the reason phrase ${quote(reason)}` : undefined;
};

const getCodingFault = ({ version, fields }: ResponseHead): string | undefined => {
  const [coding, ...others] = getValues(fields, 'transfer-encoding');
  if (coding === undefined) return undefined;
  if (others.length > 0) return 'two lines of transfer codings';
  if (coding.trim().toLowerCase() !== CHUNKED) return `the transfer coding ${quote(coding)}`;
  if (version === VERSION_WITHOUT_CODINGS) return 'a transfer coding in HTTP/1.0';
  return getValues(fields, 'content-length').length > 0 ? 'a length beside chunks' : undefined;
};

const getLengthFault = ({ status, fields }: ResponseHead): string | undefined => {
  const [length, ...others] = getValues(fields, 'content-length');
  if (length === undefined) return undefined;
  if (others.length > 0) return 'two lengths';
  const bytes = LENGTH.test(length.trim()) ? Number(length) : NaN;
  if (!Number.isSafeInteger(bytes)) return `the length ${quote(length)}`;
  return status === NO_CONTENT && bytes > 0 ? 'a length without content' : undefined;
};

/** Why the head of a final response is not sound, in a few words; undefined if it is. */
export const getHeadFault = (head: ResponseHead): string | undefined =>
  getFirstLineFault(head) ??
  getFieldFault(head.fields) ??
  getCodingFault(head) ??
  getLengthFault(head);
