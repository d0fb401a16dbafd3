import { BYTES_PER_MIB } from '@anvilpaddle/common';
import { readProcessMemory } from '../processMemory';

const BUFFER_BYTES = 32 * BYTES_PER_MIB;

describe('the memory of the process', () => {
  it('tells what a buffer takes, as own memory and as buffers', async () => {
    const before = await readProcessMemory();
    const buffer = Buffer.alloc(BUFFER_BYTES, 1);
    const after = await readProcessMemory();

    expect(after.bufferBytes - before.bufferBytes).toBeGreaterThanOrEqual(buffer.length);
    expect(after.ownBytes).toBeGreaterThan(BUFFER_BYTES);
    expect(after.peakResidentBytes).toBeGreaterThanOrEqual(after.ownBytes);
  });
});
