import { BYTES_PER_MIB } from '@anvilpaddle/common';
import { readProcessMemory } from '../processMemory';

const BUFFER_BYTES = 32 * BYTES_PER_MIB;

describe('the memory of the process', () => {
  it('tells what a buffer takes, as own memory and as buffers', async () => {
    const buffer = Buffer.alloc(BUFFER_BYTES, 1);
    const memory = await readProcessMemory();

    expect(memory.bufferBytes).toBeGreaterThanOrEqual(buffer.length);
    expect(memory.ownBytes).toBeGreaterThan(BUFFER_BYTES);
    expect(memory.peakResidentBytes).toBeGreaterThanOrEqual(memory.ownBytes);
  });
});
