/**
 * What the calls to the store and to other boxes about one prefix have brought since the store last confirmed its data.
 * A type alias, so that it can be part of the fields of a log event.
 */
export type FeedSourceStatus = {
	/** `store`, or the address of the box that passed on the last confirmation; empty before the first one. */
	readonly confirmedBy: string
	/** Calls that were not answered in time. */
	readonly unanswered: number
	/** Calls that the store refused or answered with an error, and answers of boxes without current data. */
	readonly failed: number
}
