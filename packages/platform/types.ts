import type { Result } from '@anvilpaddle/common';
import type { PlatformError } from './errors';

/** One row of the table service; the revision grows with each write of any row. */
export interface Row {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}

/** Condition of a transaction: the row has this revision; 0 means that it does not exist. */
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

/** Checks and writes that take effect together or not at all. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly writes: readonly RowWrite[];
}

/** Outcome of a transaction that the service has answered. */
export type TransactionOutcome =
  | { readonly committed: true; readonly revision: number }
  | { readonly committed: false; readonly conflicts: readonly RowCheck[] };

/** Part of a table, in the order of the keys. */
export interface RowRange {
  readonly prefix: string;
  /** Only keys greater than this one. */
  readonly after?: string | undefined;
  readonly limit: number;
}

/** The platform's transactional table service. An `unknown` error may have taken effect. */
export interface TableService {
  get(table: string, key: string): Promise<Result<Row | undefined, PlatformError>>;
  scan(table: string, range: RowRange): Promise<Result<readonly Row[], PlatformError>>;
  transact(transaction: Transaction): Promise<Result<TransactionOutcome, PlatformError>>;
}

/** The platform's object store; objects are bytes under a key and are never appended to. */
export interface ObjectStore {
  put(key: string, body: Buffer): Promise<Result<void, PlatformError>>;
  get(key: string): Promise<Result<Buffer | undefined, PlatformError>>;
  remove(key: string): Promise<Result<void, PlatformError>>;
}

/** The platform's store of model weights, limited in reads a second. */
export interface WeightStore {
  /** Size of the weights in bytes; `limited` errors say when to come back. */
  read(model: string, version: string): Promise<Result<number, PlatformError>>;
}

export const VM_STATE = { live: 'live', leaving: 'leaving' } as const;
export type VmState = (typeof VM_STATE)[keyof typeof VM_STATE];

export const VM_ROLE = { entry: 'entry', sidecar: 'sidecar' } as const;
export type VmRole = (typeof VM_ROLE)[keyof typeof VM_ROLE];

/** One VM of the platform's list; the list lags behind the truth. */
export interface Vm {
  readonly vm: string;
  /** Address of the system's process on the VM, for messages between processes. */
  readonly address: string;
  readonly role: VmRole;
  readonly failureDomain: string;
  readonly state: VmState;
  /** Group of upstreams of a sidecar's VM, when the list tells it. */
  readonly group?: string | undefined;
}

/** The platform's list of VMs. */
export interface VmList {
  list(): Promise<Result<readonly Vm[], PlatformError>>;
}
