/**
 * Units of amounts and times.
 */

/** Whole budget tokens: input and output tokens multiplied by the weights of the model. @public */
export type Amount = number
/** Milliseconds. A point in time is from the Unix epoch or from a monotonic clock of the box. @public */
export type Millis = number

/** Milliseconds in a second. @public */
export const SECOND_MS: Millis = 1000
