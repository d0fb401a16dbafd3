/** Types of the entry process's filters and actions. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ByteBudget, Clock, Logger, Metrics, Result } from '@anvilpaddle/common';
import type {
  Config,
  EffectiveSettings,
  Job,
  NamedApiKey,
  NamedRoute,
  Router,
} from '@anvilpaddle/decisions';
import type { ApiError, Revocation, RevocationResult, RunState } from '@anvilpaddle/protocol';
import type { ConfigController } from '../controllers/configController';
import type { JobController } from '../controllers/jobController';
import type { KeyWatch } from '../controllers/keyWatch';
import type { LimitController } from '../controllers/limitController';
import type { MemberController } from '../controllers/memberController';
import type { StopStage } from '../process/program';
import type { ACTION_ACCESS } from './action';
import type { AttemptClient } from './attemptClient';

/** Objects of the entry process that filters and actions need. */
export interface EntryDependencies {
  readonly vm: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** SHA-256 hashes, in hex, of the operators' keys that are accepted. */
  readonly operatorKeyHashes: readonly string[];
  readonly keyWatch: KeyWatch;
  readonly config: ConfigController;
  readonly members: MemberController;
  readonly limits: LimitController;
  readonly jobs: JobController;
  readonly attempts: AttemptClient;
  /** Asks a sidecar to revoke an attempt; undefined when the sidecar does not respond. */
  readonly revokeAttempt: (
    address: string,
    revocation: Revocation,
  ) => Promise<RevocationResult['state'] | undefined>;
  /** Notifies the sidecars of the job's group, which otherwise detect its end a little later. */
  readonly notifyJobEnded: (job: Job) => void;
  readonly router: Router;
  readonly metrics: Metrics;
  readonly byteBudget: ByteBudget;
  readonly clock: Clock;
  readonly log: Logger;
  readonly getStopStage: () => StopStage;
}

/** Upstream, attempts and run state of a request, for logs and metrics. */
export interface RequestOutcome {
  upstream: string | undefined;
  attempts: number;
  run: RunState;
  firstTokenMs: number | undefined;
}

/** A request and its state in the filter chain; each filter sets the fields that it determines. */
export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Monotonic milliseconds at which the request arrived. */
  readonly startedMs: number;
  /** Aborted when the caller's connection closes. */
  readonly signal: AbortSignal;
  /** Bytes of all requests and responses of the process. */
  readonly byteBudget: ByteBudget;
  readonly config: Config;
  readonly outcome: RequestOutcome;
  /** Monotonic milliseconds by which the response must be complete. */
  deadlineMs: number;
  /** Effective settings, as far as route, team and key have been determined. */
  settings: EffectiveSettings;
  action: Action | undefined;
  params: Readonly<Record<string, string>>;
  route: NamedRoute | undefined;
  key: NamedApiKey | undefined;
  team: string | undefined;
  body: Buffer;
  json: Readonly<Record<string, unknown>> | undefined;
}

/** Runs the rest of the filter chain. */
export type Next = () => Promise<Result<void, ApiError>>;

/** One step of the filter chain: it returns an error, sends the response itself or calls `next`. */
export interface Filter {
  readonly name: string;
  apply(exchange: Exchange, next: Next): Promise<Result<void, ApiError>>;
}

/** An API endpoint that the entry process handles itself, without an upstream. */
export interface Action {
  readonly name: string;
  readonly method: string;
  /** Path with `:name` for a variable segment and a trailing `*name` for the rest of the path. */
  readonly path: string;
  readonly access: (typeof ACTION_ACCESS)[keyof typeof ACTION_ACCESS];
  run(exchange: Exchange, dependencies: EntryDependencies): Promise<Result<void, ApiError>>;
}
