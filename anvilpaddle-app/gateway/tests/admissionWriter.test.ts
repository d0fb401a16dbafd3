import { loadHashing, ManualClock } from '@anvilpaddle/common';
import { newAdmissionWriter } from '../admissionWriter';

const GATEWAYS = Array.from({ length: 88 }, (_, index) => `gateway-${index}`);
const TEAMS = Array.from({ length: 20 }, (_, index) => `team-${index}`);
/** Time after which a gateway that is gone no longer counts as the writer. */
const TAKEOVER_MS = 1000;
const STEP_MS = 1;

beforeAll(loadHashing);

const isDueWithin = (writer: { isDue(): boolean }, clock: ManualClock, ms: number): boolean => {
  for (let elapsedMs = 0; elapsedMs <= ms; elapsedMs += STEP_MS) {
    if (writer.isDue()) return true;
    clock.advance(STEP_MS);
  }
  return false;
};

describe('the writer of admissions', () => {
  it('is one of the gateways that see each other, for each team', () => {
    const clock = new ManualClock();
    TEAMS.forEach((team) => {
      const writers = GATEWAYS.filter((self) =>
        newAdmissionWriter(
          self,
          () => GATEWAYS,
          () => [team],
          clock,
        ).isDue(),
      );
      expect(writers).toHaveLength(1);
    });
  });

  it('is another gateway soon after it is gone', () => {
    const clock = new ManualClock();
    let seen = ['gateway-1', 'gateway-2'];
    const [first, second] = seen.map((self) =>
      newAdmissionWriter(
        self,
        () => seen,
        () => ['team'],
        clock,
      ),
    );
    if (first === undefined || second === undefined) throw new Error('no writer');
    const isFirstWriter = first.isDue();
    expect(second.isDue()).toBe(!isFirstWriter);
    seen = [isFirstWriter ? 'gateway-2' : 'gateway-1'];
    expect(isDueWithin(isFirstWriter ? second : first, clock, TAKEOVER_MS)).toBe(true);
  });

  // Guards against a hash for each gateway and team at each datagram and each admission.
  it('looks for itself seldom, however often it is asked', () => {
    const clock = new ManualClock();
    let lookups = 0;
    const writer = newAdmissionWriter(
      'no gateway',
      () => {
        lookups += 1;
        return GATEWAYS;
      },
      () => TEAMS,
      clock,
    );
    for (let asked = 0; asked < 5000; asked += 1) {
      writer.isDue();
      if (asked % 5 === 0) clock.advance(STEP_MS);
    }
    expect(lookups).toBeLessThanOrEqual(3);
  });
});
