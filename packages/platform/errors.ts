/** Errors that the platform's services report to their callers. */
/**
 * Error of a call to a platform service. `unavailable`: the call had no effect. `unknown`: the
 * response was lost, and the call may have taken effect. `limited`: the service refused the call at
 * its rate limit; retry after `retryAfterMs`. `invalid_answer`: the response is malformed or has
 * an unexpected status.
 */
export type PlatformError =
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'limited'; readonly retryAfterMs: number }
  | { readonly kind: 'invalid_answer'; readonly detail: string };

/** Message of an error for a log line. */
export const getPlatformErrorMessage = (error: PlatformError): string =>
  error.kind === 'limited' ? `limited for ${error.retryAfterMs} ms` : error.detail;
