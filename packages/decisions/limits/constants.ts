/** Lifetimes and defaults of the distributed token buckets. */

/** Time in which a borrower may spend borrowed tokens, counted from when it asked for them. */
export const BORROWED_TOKEN_LIFETIME_MS = 250;
/**
 * Time for which a lender counts a loan as unspent. It is twice the borrower's lifetime, so that the
 * limit holds as long as no clock runs at more than twice the speed of another.
 */
export const LOAN_LIFETIME_MS = 2 * BORROWED_TOKEN_LIFETIME_MS;
/** Number of entry processes that hold a share of one team's tokens. */
export const DEFAULT_HOLDERS_PER_TEAM = 4;
/** Allowance for rounding errors in sums of fractional tokens. */
export const TOKEN_TOLERANCE = 1e-9;
