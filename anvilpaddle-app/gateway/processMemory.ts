/** Memory of the process, to be read beside the bytes that it holds by intent. */
import { readFile } from 'node:fs/promises';
import { BYTES_PER_KIB } from '@anvilpaddle/common';

/** Memory of a process, in bytes. */
export interface ProcessMemory {
  /** Resident memory that is the process's own: without mapped files, and all of it where that is not told. */
  readonly ownBytes: number;
  /** Largest resident memory so far, with mapped files. */
  readonly peakResidentBytes: number;
  /** Live objects of the heap, and garbage since the last collection. */
  readonly heapBytes: number;
  /** Buffers outside the heap, and those that wait for the next collection. */
  readonly bufferBytes: number;
}

const OWN_MEMORY_PATTERN = /^RssAnon:\s+(\d+) kB$/m;

/** Resident memory without mapped files; undefined where the system doesn't tell. */
const readOwnBytes = async (): Promise<number | undefined> => {
  try {
    const kib = OWN_MEMORY_PATTERN.exec(await readFile('/proc/self/status', 'utf8'))?.[1];
    return kib === undefined ? undefined : Number(kib) * BYTES_PER_KIB;
  } catch {
    return undefined;
  }
};

/** Reads the memory of this process. */
export const readProcessMemory = async (): Promise<ProcessMemory> => {
  const ownBytes = await readOwnBytes();
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  return {
    ownBytes: ownBytes ?? rss,
    peakResidentBytes: process.resourceUsage().maxRSS * BYTES_PER_KIB,
    heapBytes: heapUsed,
    bufferBytes: arrayBuffers,
  };
};
