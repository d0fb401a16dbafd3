/** Outcome of an operation that may fail with a tagged error. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** Wraps a success. */
export const newOk = <T>(value: T): { readonly ok: true; readonly value: T } => ({
  ok: true,
  value,
});

/** Wraps a failure. */
export const newFailure = <E>(error: E): { readonly ok: false; readonly error: E } => ({
  ok: false,
  error,
});
