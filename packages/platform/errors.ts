/**
 * Errors of the platform's services. `unavailable`: nothing happened. `unknown`: the answer was
 * lost and the call may have taken effect. `limited`: come back after `retryAfterMs`.
 */
export type PlatformError =
  | { readonly kind: 'unavailable'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'limited'; readonly retryAfterMs: number }
  | { readonly kind: 'invalid_answer'; readonly detail: string };

/** Text of an error for a log line. */
export const getPlatformErrorMessage = (error: PlatformError): string =>
  error.kind === 'limited' ? `limited for ${error.retryAfterMs} ms` : error.detail;
