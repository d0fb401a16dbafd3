/** Headers that concern one connection only, and are not passed on. */

/** Their names in lower case (RFC 9110, 7.6.1); trailers are not passed on either. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
