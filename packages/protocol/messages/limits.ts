/** Messages that share the rate limits of teams among entry processes. */
import { z } from 'zod';

/**
 * Membership view: the entry processes, by address, that hold the tokens of teams. Stored as one
 * row of the table service.
 */
export const limitViewSchema = z.object({
  /** Increases with each view. */
  epoch: z.number().int().nonnegative(),
  /** Entry processes from which the holders of each team are chosen. */
  members: z.array(z.string()),
  /** Entry processes that become members once every member has released their share. */
  joining: z.array(z.string()),
  /** Number of holders per team; all members are holders when there are fewer. */
  holders: z.number().int().positive(),
});
export type LimitView = z.infer<typeof limitViewSchema>;

/** Requests tokens of a team from a holder. */
export const borrowRequestSchema = z.object({
  team: z.string(),
  /** Tokens for which requests are waiting. */
  need: z.number().nonnegative(),
  /** Further tokens that the borrower accepts. */
  extra: z.number().nonnegative(),
  /** Ids of earlier loans of this holder that are used up. */
  closed: z.array(z.string()),
});
export type BorrowRequest = z.infer<typeof borrowRequestSchema>;

/** Loan of tokens; the holder debits them before it responds. */
export const borrowResultSchema = z.object({
  /** Id of the loan. */
  loan: z.string(),
  /** Tokens lent. */
  granted: z.number().nonnegative(),
  /** Tokens that remain with the holder. */
  level: z.number().nonnegative(),
  /** Time, in milliseconds, after which another request may succeed. */
  retryAfterMs: z.number().nonnegative(),
  /** Whether loans take up much of the share, so that used-up ones must be reported at once. */
  tight: z.boolean(),
  epoch: z.number(),
});
export type BorrowResult = z.infer<typeof borrowResultSchema>;

/** Returns the unused tokens of a loan; the borrower uses nothing of the loan afterwards. */
export const loanReturnSchema = z.object({
  team: z.string(),
  loan: z.string(),
  amount: z.number().nonnegative(),
});
export type LoanReturn = z.infer<typeof loanReturnSchema>;

/** Methods that enforce the rate and burst limits of teams. */
export const LIMIT_METHODS = {
  'limit.borrow': { params: borrowRequestSchema, result: borrowResultSchema },
  'limit.giveBack': { params: loanReturnSchema, result: z.object({}) },
  /** Offers the tokens of a leaving entry process; the receiver borrows them into its share. */
  'limit.offer': {
    params: z.object({ address: z.string(), teams: z.array(z.string()) }),
    result: z.object({}),
  },
  /** Announces a view; `confirmed` once the receiver holds no more than its share in that view. */
  'limit.confirm': {
    params: z.object({ view: limitViewSchema }),
    result: z.object({ epoch: z.number(), confirmed: z.boolean() }),
  },
  /** Latest view that the receiver knows. */
  'limit.view': { params: z.object({}), result: z.object({ view: limitViewSchema.optional() }) },
} as const;
