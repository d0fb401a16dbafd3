/** Time in which an entry may use borrowed tokens, from the moment it asked for them. */
export const BORROWED_TOKEN_LIFETIME_MS = 250;
/**
 * Time for which a holder counts a loan as unspent. Twice the grant's lifetime, so that the bound
 * holds while no clock runs at more than twice the speed of another.
 */
export const LOAN_LIFETIME_MS = 2 * BORROWED_TOKEN_LIFETIME_MS;
/** Holders of one team. */
export const DEFAULT_HOLDERS_PER_TEAM = 4;
/** Rounding errors of sums of fractions of tokens. */
export const TOKEN_TOLERANCE = 1e-9;
