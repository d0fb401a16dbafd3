import { getOversizePlaceholder } from './item';

const NEWLINE = 0x0a;
const HEAD_BYTES = 4096;

/** Cuts a stream of bytes into lines; holds at most one line in memory. */
export interface LineSplitter {
  /** Lines that are complete with this chunk, without their ends and without blank ones. */
  push(chunk: Buffer): string[];
  /** The last line, when it has no end. */
  end(): string[];
}

/**
 * Splitter at line feeds; carriage returns before them are dropped. A line over the limit in bytes
 * is replaced by a note of its length, which ends as an error result.
 */
export const newLineSplitter = (maxLineBytes: number): LineSplitter => {
  let pieces: Buffer[] = [];
  let heldBytes = 0;
  let lineBytes = 0;

  const hold = (piece: Buffer): void => {
    lineBytes += piece.length;
    if (heldBytes + piece.length <= maxLineBytes) {
      pieces.push(piece);
      heldBytes += piece.length;
      return;
    }
    // The head is kept for the custom id; the rest would be thrown away at the line's end.
    const head = Buffer.concat([...pieces, piece.subarray(0, HEAD_BYTES)]).subarray(0, HEAD_BYTES);
    pieces = [Buffer.from(head)];
    heldBytes = maxLineBytes;
  };

  const take = (): string[] => {
    const content = Buffer.concat(pieces).toString('utf8');
    const line =
      lineBytes > maxLineBytes ? getOversizePlaceholder(content, lineBytes) : content.trim();
    pieces = [];
    heldBytes = 0;
    lineBytes = 0;
    return line === '' ? [] : [line];
  };

  return {
    push: (chunk) => {
      const lines: string[] = [];
      let start = 0;
      for (;;) {
        const end = chunk.indexOf(NEWLINE, start);
        if (end < 0) break;
        hold(chunk.subarray(start, end));
        lines.push(...take());
        start = end + 1;
      }
      if (start < chunk.length) hold(chunk.subarray(start));
      return lines;
    },
    end: take,
  };
};
