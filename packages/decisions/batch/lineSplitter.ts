/** Splits a byte stream into lines. */
import { getOversizePlaceholder } from './item';

const NEWLINE = 0x0a;
/** Length of the head that is kept of an oversize line, to find its custom id. */
const OVERSIZE_HEAD_BYTES = 4096;

/** Splits a stream of bytes into lines; buffers at most one line. */
export interface LineSplitter {
  /** Lines that these bytes complete, without line breaks and without blank lines. */
  push(data: Buffer): string[];
  /** The last line, if it has no line break. */
  end(): string[];
}

/**
 * Creates a splitter at line feeds; carriage returns before them are dropped. A line of more than
 * `maxLineBytes` is replaced by a placeholder with its length, which results in an error.
 */
export const newLineSplitter = (maxLineBytes: number): LineSplitter => {
  let pieces: Buffer[] = [];
  let bufferedBytes = 0;
  let lineBytes = 0;

  const append = (piece: Buffer): void => {
    lineBytes += piece.length;
    if (bufferedBytes + piece.length <= maxLineBytes) {
      pieces.push(piece);
      bufferedBytes += piece.length;
      return;
    }
    // Only the head of an oversize line is buffered, for its custom id. The buffer then counts as full,
    // so that the rest of the line is dropped as it arrives.
    const head = Buffer.concat([...pieces, piece.subarray(0, OVERSIZE_HEAD_BYTES)]).subarray(
      0,
      OVERSIZE_HEAD_BYTES,
    );
    pieces = [Buffer.from(head)];
    bufferedBytes = maxLineBytes;
  };

  const flush = (): string[] => {
    const content = Buffer.concat(pieces).toString('utf8');
    const line =
      lineBytes > maxLineBytes ? getOversizePlaceholder(content, lineBytes) : content.trim();
    pieces = [];
    bufferedBytes = 0;
    lineBytes = 0;
    return line === '' ? [] : [line];
  };

  return {
    push: (data) => {
      const lines: string[] = [];
      let start = 0;
      for (;;) {
        const end = data.indexOf(NEWLINE, start);
        if (end < 0) break;
        append(data.subarray(start, end));
        lines.push(...flush());
        start = end + 1;
      }
      if (start < data.length) append(data.subarray(start));
      return lines;
    },
    end: flush,
  };
};
