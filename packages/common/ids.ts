import { createHash, randomBytes } from 'node:crypto';

const ID_BYTES = 12;
const KEY_BYTES = 24;

/** New unique id such as `req_3f…`; 96 random bits. */
export const newId = (prefix: string): string =>
  `${prefix}_${randomBytes(ID_BYTES).toString('hex')}`;

/** New secret for a caller's key; 192 random bits. */
export const newSecret = (prefix: string): string =>
  `${prefix}-${randomBytes(KEY_BYTES).toString('base64url')}`;

/** SHA-256 of a secret in hex, the only form in which keys are stored. */
export const getSecretHash = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');
