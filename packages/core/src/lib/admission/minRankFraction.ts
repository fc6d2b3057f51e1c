/**
 * Minimum fraction of its requests for which a rank gets a place, relative to that of all ranks. The service target of a
 * route is a quarter; the rest is margin, because requests with a place can still fail.
 */
export const MIN_RANK_FRACTION = 0.3
