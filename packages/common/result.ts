/** Results of operations with expected errors. */

/** Outcome of an operation: a value, or an error that is returned rather than thrown. */
export type Result<T, E> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: E };

/** Successful result. */
export const newOk = <T>(value: T): { readonly ok: true; readonly value: T } => ({
  ok: true,
  value,
});

/** Failed result. */
export const newFailure = <E>(error: E): { readonly ok: false; readonly error: E } => ({
  ok: false,
  error,
});
