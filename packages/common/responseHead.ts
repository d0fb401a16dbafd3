/**
 * Decides whether the head of a response is sound, by RFC 9110 and RFC 9112. The parsers of Node.js
 * and undici pass on more, each version its own. What is sound can be written to a caller.
 */

/** Head of a final response as its parser passes it on. */
export interface ResponseHead {
  readonly status: number;
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

/** Node.js leaves out the fields of a head beyond this number of names and values. */
const MAX_FIELD_TEXTS = 2000;
/** Number of characters of a head that a fault quotes. */
const MAX_QUOTED_CHARS = 40;

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
/** Character that no value has: a control character, or one that is no single byte. */
const NOT_OF_VALUE = /[^\t\x20-\x7e\x80-\xff]/;
const LENGTH = /^\d+$/;

const quote = (text: string): string => JSON.stringify(text.slice(0, MAX_QUOTED_CHARS));

/** Values of all fields with a name, which is given in lower case. */
const getValues = (fields: readonly string[], name: string): string[] =>
  fields.filter((_, index) => index % 2 === 1 && fields[index - 1]?.toLowerCase() === name);

const getFieldFault = (fields: readonly string[]): string | undefined => {
  if (fields.length > MAX_FIELD_TEXTS) return 'too many fields';
  const texts = fields.map((text, index) => ({ text, isName: index % 2 === 0 }));
  const bad = texts.find(({ text, isName }) =>
    isName ? !TOKEN.test(text) : NOT_OF_VALUE.test(text),
  );
  if (bad === undefined) return undefined;
  return `the field ${bad.isName ? 'name' : 'value'} ${quote(bad.text)}`;
};

const getLengthFault = (fields: readonly string[]): string | undefined => {
  const [length, ...others] = getValues(fields, 'content-length');
  if (length === undefined) return undefined;
  if (others.length > 0) return 'two lengths';
  const isLength = LENGTH.test(length.trim()) && Number.isSafeInteger(Number(length));
  return isLength ? undefined : `the length ${quote(length)}`;
};

/** Whether a final response may have the status. */
export const isFinalStatus = (status: number): boolean =>
  status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;

/** Why the head of a final response is not sound, in a few words; undefined if it is. */
export const getHeadFault = ({ status, fields }: ResponseHead): string | undefined =>
  isFinalStatus(status)
    ? (getFieldFault(fields) ?? getLengthFault(fields))
    : `the status ${status}`;
