/** What filters and actions of the entry work with. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock, Logger, Metrics, Result } from '@anvilpaddle/common';
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

/** Parts of the entry that filters and actions work with. */
export interface EntryDependencies {
  readonly vm: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** Accepted operators' keys as SHA-256 in hex. */
  readonly operatorKeyHashes: readonly string[];
  readonly keyWatch: KeyWatch;
  readonly config: ConfigController;
  readonly members: MemberController;
  readonly limits: LimitController;
  readonly jobs: JobController;
  readonly attempts: AttemptClient;
  /** Asks a sidecar to give up an attempt; undefined when it does not answer. */
  readonly revokeAttempt: (
    address: string,
    revocation: Revocation,
  ) => Promise<RevocationResult['state'] | undefined>;
  /** Tells the sidecars of the job's group, which would see it by themselves a little later. */
  readonly notifyJobEnded: (job: Job) => void;
  readonly router: Router;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly log: Logger;
  readonly getStopStage: () => StopStage;
}

/** What happened to a request, for logs and metrics. */
export interface RequestOutcome {
  upstream: string | undefined;
  attempts: number;
  run: RunState;
  firstTokenMs: number | undefined;
}

/** One request on its way through the filters; each filter fills in its part. */
export interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Monotonic milliseconds. */
  readonly startedMs: number;
  /** Aborted when the caller is gone. */
  readonly signal: AbortSignal;
  readonly config: Config;
  readonly outcome: RequestOutcome;
  deadlineMs: number;
  settings: EffectiveSettings;
  action: Action | undefined;
  params: Readonly<Record<string, string>>;
  route: NamedRoute | undefined;
  key: NamedApiKey | undefined;
  team: string | undefined;
  body: Buffer;
  json: Readonly<Record<string, unknown>> | undefined;
}

/** Passes the request on to the filters behind. */
export type Next = () => Promise<Result<void, ApiError>>;

/** One step of the filter chain. It answers by an error, by itself, or by passing on. */
export interface Filter {
  readonly name: string;
  apply(exchange: Exchange, next: Next): Promise<Result<void, ApiError>>;
}

/** A call that the entry answers itself. */
export interface Action {
  readonly name: string;
  readonly method: string;
  /** Path with `:name` for a variable part and a last `*name` for the rest. */
  readonly path: string;
  readonly access: (typeof ACTION_ACCESS)[keyof typeof ACTION_ACCESS];
  run(exchange: Exchange, services: EntryDependencies): Promise<Result<void, ApiError>>;
}
