import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1000 / TICKS_PER_SECOND;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** What a process of this measurement has used so far. */
export interface ProcessUsage {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Usage of a process by id, from the kernel's process table. */
export const getProcessUsage = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command's name may hold spaces; the fields after it do not.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? '0');
  return { cpuMs: ticks * MS_PER_TICK, residentBytes: residentKib * 1024 };
};
