/** Data types and interfaces of the platform's services. */
import type { Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';

/** One row of the table service; the revision grows with each write of any row. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}

/** Precondition of a transaction: the row has this revision; 0 means that it does not exist. */
export interface RowCheck {
  readonly table: string;
  readonly key: string;
  readonly revision: number;
}

/** Change of one row; an undefined value removes it. */
export interface RowWrite {
  readonly table: string;
  readonly key: string;
  readonly value: unknown;
}

/** Atomic change: all writes take effect if all checks hold, otherwise none does. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** Outcome of a transaction that the service responded to; conflicts carry actual revisions. */
export type TransactionOutcome =
  | { readonly committed: true; readonly revision: number }
  | { readonly committed: false; readonly conflicts: readonly RowCheck[] };

/** Rows of a table whose keys have a prefix, in the order of the keys. */
export interface RowRange {
  readonly prefix: string;
  /** Only keys greater than this one are read. */
  readonly after?: string | undefined;
  readonly limit: number;
}

/** The platform's transactional table service. A call failed as `unknown` may have taken effect. */
export interface TableService {
  get(table: string, key: string): Promise<Result<Row | undefined, PlatformError>>;
  scan(table: string, range: RowRange): Promise<Result<readonly Row[], PlatformError>>;
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>>;
}

/** What is known of a response before it comes. */
export interface ReadOptions {
  /** Bytes of a response that may be large, for which a peer that passes the call on needs room. */
  readonly expectedBytes?: number | undefined;
}

/** The platform's object store; objects are bytes under a key and are never appended to. */
export interface ObjectStore {
  put(key: string, body: Buffer): Promise<Result<void, PlatformError>>;
  get(key: string, options?: ReadOptions): Promise<Result<Buffer | undefined, PlatformError>>;
  remove(key: string): Promise<Result<void, PlatformError>>;
}

/** The platform's store of model weights, which limits the reads per second. */
export interface WeightStore {
  /** Reads a model's weights and gives their size in bytes; `limited` errors say when to retry. */
  read(model: string, version: string): Promise<Result<number, PlatformError>>;
}

/** Whether a VM stays in service or is about to be removed. */
export const VM_STATE = { live: 'live', leaving: 'leaving' } as const;
/** Value of `VM_STATE`. */
export type VmState = (typeof VM_STATE)[keyof typeof VM_STATE];

/** Role of the process on a VM. */
export const VM_ROLE = { entry: 'entry', sidecar: 'sidecar' } as const;
/** Value of `VM_ROLE`. */
export type VmRole = (typeof VM_ROLE)[keyof typeof VM_ROLE];

/** One VM of the platform's list; the list lags behind the actual state. */
export interface Vm {
  readonly vm: string;
  /** Address of the system's process on the VM, for messages between processes. */
  readonly address: string;
  readonly role: VmRole;
  readonly failureDomain: string;
  readonly state: VmState;
  /** Upstream group of a sidecar's VM, if the list states it. */
  readonly group?: string | undefined;
}

/** The platform's list of VMs. */
export interface VmList {
  list(): Promise<Result<readonly Vm[], PlatformError>>;
}
