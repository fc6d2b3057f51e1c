/** A part of the gateway that reports its state to operators. */
export interface ReportedPart {
	/** Key of the part in the status document. */
	readonly name: string
	/** Gauges by metric name with labels; the number of labels must be bounded. */
	gauges(): Readonly<Record<string, number>>
	/** State for the status document; must be serialisable as JSON and bounded in size. */
	status(): unknown
}
