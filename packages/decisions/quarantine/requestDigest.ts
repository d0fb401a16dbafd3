/**
 * Digest that tells whether two requests are the same: method, host, path with query, team and body.
 * Ids, deadlines and other headers differ from one attempt of a caller to the next.
 */
import { createHash } from 'node:crypto';
import { getHash } from '@anvilpaddle/common';

/** What makes a request the same as another. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path with its query. */
  readonly url: string;
  /** Undefined for a public route. */
  readonly team: string | undefined;
  readonly body: Buffer;
}

/** Digest of a request, of which the part that costs reading the body is computed when needed. */
export interface RequestDigest {
  /** Short hash of everything but the bytes of the body; different requests may share it. */
  readonly outline: string;
  /** Whole digest; it begins with the outline. */
  get(): string;
}

/** Marks digests among the names of prompt parts, which are hexadecimal. */
export const DIGEST_MARK = '~';
/** Characters of the base64 text that are kept: 132 bits. */
const BODY_HASH_CHARS = 22;
const RADIX = 36;
/** Ends the outline in a digest. */
const OUTLINE_END = '-';

/** Outline with which a digest begins. */
export const getOutline = (digest: string): string => digest.split(OUTLINE_END, 1)[0] ?? '';

/** Creates the digest of a request. */
export const newRequestDigest = ({
  method,
  host,
  url,
  team,
  body,
}: RequestContent): RequestDigest => {
  const head = JSON.stringify([method, host, url, team ?? null, body.length]);
  const outline = `${DIGEST_MARK}${getHash(head).toString(RADIX)}`;
  let digest: string | undefined;
  return {
    outline,
    get: () => {
      digest ??= `${outline}${OUTLINE_END}${createHash('sha256')
        .update(head)
        .update(body)
        .digest('base64url')
        .slice(0, BODY_HASH_CHARS)}`;
      return digest;
    },
  };
};
