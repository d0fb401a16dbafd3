/** Processor time and memory of a process, read from `/proc`. */
import { readFileSync } from 'node:fs';

/** `USER_HZ`, the unit of the times in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
const MS_PER_TICK = 1000 / TICKS_PER_SECOND;
// Indexes of `utime` and `stime` among the fields after the command's name.
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Processor time that a process has used since its start, and its resident memory. */
export interface ProcessUsage {
  readonly cpuMs: number;
  /** The part of it that was spent in the kernel. */
  readonly systemMs: number;
  readonly residentBytes: number;
}

/** Reads the usage of the process with this id. */
export const getProcessUsage = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The command's name may contain spaces, so the fields are counted from its closing parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const userTicks = Number(fields[USER_TIME_FIELD]);
  const systemTicks = Number(fields[SYSTEM_TIME_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKib = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? '0');
  return {
    cpuMs: (userTicks + systemTicks) * MS_PER_TICK,
    systemMs: systemTicks * MS_PER_TICK,
    residentBytes: residentKib * 1024,
  };
};
