/**
 * Units. Money is counted in whole budget tokens, time in whole milliseconds.
 */

/** Whole budget tokens: tokens times the weights of the model. @public */
export type Amount = number
/** Milliseconds. As a point in time: since the Unix epoch, by the clock of the box. @public */
export type Millis = number

/** Milliseconds in a second. @public */
export const SECOND_MS: Millis = 1000
