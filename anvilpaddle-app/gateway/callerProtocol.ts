/** Interface to the HTTP protocol that callers and upstreams use. */
import type { IncomingHttpHeaders } from 'node:http';
import type { NewJob, ResultPage } from './jobs/types';

/** Operation that a caller requests. */
export type CallerAction =
  | { readonly kind: 'forward' }
  | {
      readonly kind: 'readResults';
      readonly jobId: string;
      /** Position of the first result to return. */
      readonly from: number;
      /** Longest wait for a result, in milliseconds. */
      readonly waitMs: number;
    }
  | { readonly kind: 'readItem'; readonly jobId: string; readonly itemId: string }
  | { readonly kind: 'endJob'; readonly jobId: string };

/** Operation on a job that was submitted before. */
export type JobAction = Exclude<CallerAction, { readonly kind: 'forward' }>;

/** Parsed request line and headers of a caller's request. */
export interface RequestHead {
  /** Request id set by the caller. */
  readonly id: string;
  readonly action: CallerAction;
  /** Host without a port, in lower case. */
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** API key that the caller presents. */
  readonly key: string | undefined;
  /** Time for which the caller waits, in milliseconds; undefined when the request names none. */
  readonly budgetMs: number | undefined;
  /** Id of the event after which the caller resumes a stream; undefined if it resumes none. */
  readonly resumesAfterId: string | undefined;
  /** Ids of the parts of its prompt that other requests may share, in order. */
  readonly promptParts: readonly string[];
}

/** Values for the headers that the gateway sets on a request to an upstream. */
export interface ForwardingContext {
  readonly upstreamId: string;
  readonly team: string | undefined;
  /** Time left for the response, in milliseconds; undefined for batch items. */
  readonly timeLeftMs: number | undefined;
  /** Id of the last stream event already received, after which the upstream is to resume. */
  readonly resumeAfterId: string | undefined;
  readonly bodyBytes: number;
}

/** What an upstream says of itself in a response. */
export interface UpstreamStatus {
  /** Requests per second that it takes from all gateways together; undefined without a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Whether it finishes its requests and takes no new ones. */
  readonly isLeaving: boolean;
}

/** What a response says of its upstream. */
export type StatusReading =
  | { readonly kind: 'status'; readonly status: UpstreamStatus }
  /** Nothing, as the response doesn't come from the expected upstream. */
  | { readonly kind: 'none' }
  /** A status that makes no sense, or is not of the expected upstream. */
  | { readonly kind: 'unusable'; readonly detail: string };

/** Translation between the platform's HTTP messages and the gateway's types. */
export interface CallerProtocol {
  parseHead(method: string, url: string, headers: IncomingHttpHeaders): RequestHead;
  /** Headers (alternating names and values) of a caller's request as sent to an upstream. */
  getUpstreamHeaders(rawHeaders: readonly string[], context: ForwardingContext): string[];
  /** Headers (alternating names and values) of an upstream's response as sent to the caller. */
  getCallerHeaders(rawHeaders: readonly string[]): string[];
  /** Whether a response states that the upstream has not run the request. */
  isNotRun(status: number, headers: IncomingHttpHeaders): boolean;
  /** Whether a response states that another process than the intended upstream has its address. */
  isMisdirected(status: number): boolean;
  /** What a response says of its upstream, from its status code and headers. */
  getUpstreamStatus(status: number, headers: IncomingHttpHeaders): StatusReading;
  /** Why a response is not an upstream's to the request with this id; undefined if it is. */
  getResponseFault(
    status: number,
    headers: IncomingHttpHeaders,
    requestId: string,
  ): string | undefined;
  /** Job in the body of a submission; undefined when the body is invalid. */
  parseJob(body: Buffer): NewJob | undefined;
  /** Headers (alternating names and values) of an item's request, as if its caller had sent it. */
  getItemHeaders(
    item: { readonly id: string; readonly headers: readonly string[] },
    host: string,
  ): string[];
  /** Ids of the parts of an item's prompt that other requests may share, in order. */
  getItemPromptParts(item: { readonly headers: readonly string[] }): string[];
  /** Response body for a page of results. */
  getResultPage(page: ResultPage): unknown;
}
