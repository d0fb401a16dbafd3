/** Bounds of a window. */
export interface ReplayWindowBounds {
  /** Sequence numbers below a sender's highest that may still arrive. */
  readonly width: number;
  /** Senders remembered; those silent longest are forgotten first. */
  readonly maxSenders: number;
}

/** Tells messages that are new from those that were received before. */
export interface ReplayWindow {
  /** False for a message that was received before, or that is too late to tell. */
  accept(sender: string, sequence: number): boolean;
}

/** Window of one sender with a flag for each of its last sequence numbers. */
const newSenderWindow = (width: number): ((sequence: number) => boolean) => {
  const received = new Uint8Array(width);
  let highest = 0;

  const moveTo = (sequence: number): void => {
    const first = Math.max(highest + 1, sequence - width + 1);
    for (let skipped = first; skipped <= sequence; skipped += 1) received[skipped % width] = 0;
    highest = sequence;
  };

  return (sequence) => {
    if (sequence <= highest - width) return false;
    if (sequence > highest) moveTo(sequence);
    if (received[sequence % width] === 1) return false;
    received[sequence % width] = 1;
    return true;
  };
};

/** Window over the sequence numbers of each sender, which may arrive out of order. */
export const newReplayWindow = ({ width, maxSenders }: ReplayWindowBounds): ReplayWindow => {
  // Keeps the order of use: the sender that is silent longest comes first.
  const senders = new Map<string, (sequence: number) => boolean>();
  return {
    accept: (sender, sequence) => {
      const accept = senders.get(sender) ?? newSenderWindow(width);
      senders.delete(sender);
      senders.set(sender, accept);
      const oldest = senders.keys().next().value;
      if (senders.size > maxSenders && oldest !== undefined) senders.delete(oldest);
      return accept(sequence);
    },
  };
};
