import { newByteBudget, UNBOUNDED_HOLDER } from '../byteBudget';
import { SystemClock } from '../clock';
import { BYTES_PER_KIB, BYTES_PER_MIB } from '../constants';
import { ManualClock } from '../manualClock';
import { NoRoomError } from '../noRoomError';
import { newRoomQueue, type Room } from '../roomQueue';
import { newStoredRooms } from '../storedRooms';

const WAIT = { timeoutMs: 1000 };

/** Lets settled promises call their handlers. */
const settle = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

const newTestQueue = () => {
  const clock = new ManualClock();
  const queue = newRoomQueue(100, UNBOUNDED_HOLDER, clock);
  const admitted: string[] = [];
  const refused: string[] = [];
  const rooms = new Map<string, Room>();
  const take = (name: string, bytes: number, wait = WAIT): void => {
    queue.take(bytes, wait).then(
      (room) => {
        admitted.push(name);
        rooms.set(name, room);
      },
      (error: unknown) => refused.push(`${name}: ${error instanceof NoRoomError}`),
    );
  };
  return { clock, queue, admitted, refused, rooms, take };
};

describe('work that waits for room', () => {
  it('is admitted in the order in which it came, also if a later one would fit', async () => {
    const { admitted, rooms, take } = newTestQueue();
    take('first', 60);
    take('large', 60);
    take('small', 10);
    await settle();
    const before = [...admitted];
    rooms.get('first')?.shrinkTo(40);
    await settle();

    expect(before).toEqual(['first']);
    expect(admitted).toEqual(['first', 'large']);
    rooms.get('large')?.release();
    await settle();
    expect(admitted).toEqual(['first', 'large', 'small']);
  });

  it('is refused at its deadline, and those behind it get their turn', async () => {
    const { clock, admitted, refused, take } = newTestQueue();
    take('first', 60);
    take('large', 60);
    take('small', 10, { timeoutMs: 5000 });
    clock.advance(1001);
    await settle();

    expect(refused).toEqual(['large: true']);
    expect(admitted).toEqual(['first', 'small']);
  });

  it('waits no longer once its caller has left', async () => {
    const { queue, refused, take } = newTestQueue();
    const left = new AbortController();
    take('first', 100);
    queue.take(10, { ...WAIT, signal: left.signal }).catch(() => refused.push('left'));
    left.abort();
    await settle();

    expect(refused).toEqual(['left']);
    expect(queue.getWaitingCount()).toBe(0);
  });

  it('is refused at once if very many wait', async () => {
    const { queue, refused, take } = newTestQueue();
    take('first', 100);
    Array.from({ length: 256 }, () => take('waiting', 1));
    take('one too many', 1);
    await settle();

    expect(refused).toEqual(['one too many: true']);
    expect(queue.getWaitingCount()).toBe(256);
  });

  it('gets all room if it needs more than there is, and gives each byte back once', async () => {
    const { admitted, rooms, take } = newTestQueue();
    take('huge', 1000);
    take('next', 100);
    await settle();
    rooms.get('huge')?.release();
    rooms.get('huge')?.release();
    take('last', 100);
    await settle();

    expect(admitted).toEqual(['huge', 'next']);
  });
});

describe('small work', () => {
  it('does not wait behind large work', async () => {
    const rooms = newStoredRooms(newByteBudget(24 * BYTES_PER_MIB), new SystemClock());
    Array.from({ length: 50 }, () => rooms.take(4 * BYTES_PER_MIB, WAIT).catch(() => undefined));
    const small = await Promise.all(
      Array.from({ length: 10 }, () => rooms.take(64 * BYTES_PER_KIB, WAIT)),
    );

    expect(small).toHaveLength(10);
    expect(rooms.getWaitingCount()).toBeGreaterThan(40);
  });
});
