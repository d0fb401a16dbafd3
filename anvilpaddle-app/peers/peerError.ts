/**
 * Error of a call to another process. `unreachable`: the message was not sent. `no_answer`: it was
 * sent and may have been handled. `refused`: the receiver refused it.
 */
export type PeerError =
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'no_answer'; readonly detail: string }
  | { readonly kind: 'refused'; readonly detail: string };
