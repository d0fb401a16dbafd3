/** Protection against replayed messages by sequence numbers. */

/** Bounds of the state that a replay window keeps. */
export interface ReplayWindowBounds {
  /** Number of a sender's latest sequence numbers that are still accepted out of order. */
  readonly width: number;
  /** Maximum number of senders; the least recently active ones are evicted first. */
  readonly maxSenders: number;
}

/** Distinguishes new messages from replayed ones. */
export interface ReplayWindow {
  /** Records a message; returns false if it was received before or is below the window. */
  accept(sender: string, sequence: number): boolean;
}

/** Creates the window of one sender: a ring of flags for its latest sequence numbers. */
const newSenderWindow = (width: number): ((sequence: number) => boolean) => {
  const received = new Uint8Array(width);
  let highest = 0;

  const advanceTo = (sequence: number): void => {
    const firstSkipped = Math.max(highest + 1, sequence - width + 1);
    for (let skipped = firstSkipped; skipped <= sequence; skipped += 1) {
      received[skipped % width] = 0;
    }
    highest = sequence;
  };

  return (sequence) => {
    if (sequence <= highest - width) return false;
    if (sequence > highest) advanceTo(sequence);
    if (received[sequence % width] === 1) return false;
    received[sequence % width] = 1;
    return true;
  };
};

/** Creates a window over the sequence numbers of each sender, which may arrive out of order. */
export const newReplayWindow = ({ width, maxSenders }: ReplayWindowBounds): ReplayWindow => {
  // The map is in order of use: the least recently active sender comes first.
  const senders = new Map<string, (sequence: number) => boolean>();
  return {
    accept: (sender, sequence) => {
      const accept = senders.get(sender) ?? newSenderWindow(width);
      senders.delete(sender);
      senders.set(sender, accept);
      const leastRecent = senders.keys().next().value;
      if (senders.size > maxSenders && leastRecent !== undefined) senders.delete(leastRecent);
      return accept(sequence);
    },
  };
};
