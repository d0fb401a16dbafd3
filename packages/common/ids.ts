/** Random ids and secrets. */
import { createHash, randomBytes } from 'node:crypto';

const ID_RANDOM_BYTES = 12;
const SECRET_RANDOM_BYTES = 24;

/** New unique id such as `req_3f…`, with 96 random bits. */
export const newId = (prefix: string): string =>
  `${prefix}_${randomBytes(ID_RANDOM_BYTES).toString('hex')}`;

/** New secret of an API key, with 192 random bits. */
export const newSecret = (prefix: string): string =>
  `${prefix}-${randomBytes(SECRET_RANDOM_BYTES).toString('base64url')}`;

/** SHA-256 of a secret in hex; API keys are stored only in this form. */
export const getSecretHash = (secret: string): string =>
  createHash('sha256').update(secret).digest('hex');
