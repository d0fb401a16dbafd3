/** Least probability that a request with a harmful part crashes the upstream that runs it. */
export const HARMFUL_LOSS_RATE = 0.5;
/** Fraction of the crashes that a harmful part causes while it comes. */
export const HARMFUL_PRESENCE = 0.9;
/** Probability with which a sound request is taken to be lost with a crash, and a sound part to be aboard, at least. */
export const MIN_SOUND_LOSS_RATE = 0.03;
/** Largest such probability of a loss that counts: at that of a harmful part, crashes would say nothing. */
export const MAX_SOUND_LOSS_RATE = 0.9 * HARMFUL_LOSS_RATE;
/** Requests at an upstream that crashed, if a report does not say how many there were. */
export const DEFAULT_CONCURRENCY = 3;
/** Time for which a request ran, in milliseconds, if nothing says how long. */
export const DEFAULT_RUN_MS = 300;
/** Probability of a loss from which a crash long after the first content says nothing against a request. */
export const MAX_TELLING_LOSS_RATE = 0.1;
/** Odds, as a natural logarithm, at which a part is quarantined: one wrong in 30,000 parts. */
export const QUARANTINE_EVIDENCE = Math.log(30_000);
/** Odds below which a part is released again. */
export const RELEASE_EVIDENCE = QUARANTINE_EVIDENCE / 2;
/** Odds below which a part is cleared, and evidence against it starts anew. */
export const EXONERATION_EVIDENCE = -3;
/** Odds from which the requests with a part are kept apart. */
export const SUSPECT_EVIDENCE = 4;
/** Crashes from which they are. */
export const MIN_SUSPECT_CRASHES = 2;
/** Crashes without an answer in between at which a whole request is quarantined. */
export const QUARANTINE_CRASHES = 3;
/** Number of changed or other requests that are reported at most; those with more crashes go first. */
export const MAX_REQUESTS_REPORTED = 8;
/** Crashes of several upstreams within this time may have a common cause. */
export const COMMON_CAUSE_MS = 50;
/** Time before and after such crashes in which another one, without the part, shows a common cause. */
export const COMPANION_CRASH_MS = 500;
/** Number of crashes whose times are remembered. */
export const MAX_KNOWN_CRASHES = 256;
/** Time without a crash after which a part that is not quarantined is forgotten. */
export const MEMORY_MS = 24 * 60 * 60 * 1000;
/** Half-life of the rate at which sound requests are lost. */
export const LOSS_RATE_HALF_LIFE_MS = 30_000;
/** Number of parts that are remembered at most as suspect or quarantined. */
export const MAX_SUSPECTS = 512;
/** Number of crashes that are remembered of one part. */
export const MAX_CRASHES_PER_PART = 16;
/** Number of parts of which the served requests are counted. */
export const MAX_SERVED_PARTS = 4096;
/** Survivals from before the first crash that count at most: about those that clear a part. */
export const MAX_EARLIER_SURVIVALS = 4;
/** Time for which a change is reported each time. */
export const RECENT_CHANGE_MS = 3000;
/** Number of suspects that changed lately in one report at most. */
export const MAX_RECENT_REPORTED = 8;
/** Number of other suspects, in turn, in one report at most. */
export const MAX_OTHERS_REPORTED = 1;
