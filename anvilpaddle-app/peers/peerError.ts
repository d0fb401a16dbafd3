/**
 * Errors of messages between processes. `unreachable`: the message was not sent.
 * `no_answer`: it may have been handled. `refused`: the other side refused it.
 */
export type PeerError =
  | { readonly kind: 'unreachable'; readonly detail: string }
  | { readonly kind: 'no_answer'; readonly detail: string }
  | { readonly kind: 'refused'; readonly detail: string };
