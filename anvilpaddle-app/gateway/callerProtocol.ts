/** What the gateway needs of the protocol that callers and upstreams speak. */
import type { IncomingHttpHeaders } from 'node:http';
import type { NewJob, ResultPage } from './jobs/types';

/** What a caller's request asks for. */
export type CallerAction =
  | { readonly kind: 'forward' }
  | {
      readonly kind: 'readResults';
      readonly jobId: string;
      /** Position of the first result wanted. */
      readonly from: number;
      /** Longest wait for a result, in milliseconds. */
      readonly waitMs: number;
    }
  | { readonly kind: 'readItem'; readonly jobId: string; readonly itemId: string }
  | { readonly kind: 'endJob'; readonly jobId: string };

/** A caller's request, read from its head. */
export interface RequestHead {
  /** Id that the caller gave it. */
  readonly id: string;
  readonly action: CallerAction;
  /** Host without a port, in lower case. */
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** Secret that the caller presents. */
  readonly key: string | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when it does not say. */
  readonly budgetMs: number | undefined;
}

/** What is added to a request on its way to an upstream. */
export interface ForwardingContext {
  readonly upstreamId: string;
  readonly team: string | undefined;
  /** Time left for the answer, in milliseconds; undefined for batch items. */
  readonly timeLeftMs: number | undefined;
  /** Id of the last event of the stream that is there already. */
  readonly resumeAfterId: string | undefined;
  readonly bodyBytes: number;
}

/** Translation between the platform's HTTP messages and the gateway's terms. */
export interface CallerProtocol {
  parseHead(method: string, url: string, headers: IncomingHttpHeaders): RequestHead;
  /** Names and values, alternating, of a caller's request as an upstream is to see it. */
  getUpstreamHeaders(rawHeaders: readonly string[], note: ForwardingContext): string[];
  /** Names and values, alternating, of an upstream's answer as the caller is to see it. */
  getCallerHeaders(rawHeaders: readonly string[]): string[];
  /** Whether an upstream says that it has not run the request. */
  isNotRun(status: number, headers: IncomingHttpHeaders): boolean;
  /** Whether an answer says that its sender is not the upstream that was meant. */
  isMisdirected(status: number): boolean;
  /** Whether an answer belongs to the request with an id. */
  isResponseTo(headers: IncomingHttpHeaders, requestId: string): boolean;
  /** Job in the body of a submission; undefined when it is none. */
  parseJob(body: Buffer): NewJob | undefined;
  /** Headers, names and values alternating, of an item as its caller gave them. */
  getItemHeaders(
    item: { readonly id: string; readonly headers: readonly string[] },
    host: string,
  ): string[];
  getResultPage(page: ResultPage): unknown;
}
