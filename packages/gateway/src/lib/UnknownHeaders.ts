import type { LogEvent, TargetEntry } from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { Dialect, HeaderNames } from './Dialect.js'
import type { ResponseHead } from './sendToTarget.js'

/** What {@link UnknownHeaders} works with. */
export interface UnknownHeadersOptions {
	readonly dialect: Pick<Dialect, 'headers' | 'ownHeader' | 'unreadHeaders'>
	readonly metrics: Metrics
	readonly log: (event: LogEvent) => void
}

/** Names that are remembered; what comes beyond is not looked at. */
const MAX_RECORDED_NAMES = 50
/** Characters of a name and a value that a log line holds. */
const MAX_LOGGED_CHARS = 80

/**
 * Headers by which targets speak and that this version does not know: each name is counted and logged once, so that a
 * new word of the platform shows in a log before it shows in what goes wrong because nobody reads it.
 */
export class UnknownHeaders {
	private readonly known: ReadonlySet<string>
	private readonly recorded = new Set<string>()

	constructor(private readonly options: UnknownHeadersOptions) {
		const { headers, unreadHeaders } = options.dialect
		this.known = new Set([...namesOf(headers), ...unreadHeaders])
	}

	/** Looks through the head of an answer. */
	inspect({ headers }: ResponseHead, target: TargetEntry): void {
		const { log, metrics } = this.options
		for (const name in headers) {
			if (!this.shouldReport(name)) continue
			this.recorded.add(name)
			metrics.count('stallwing_new_headers_total')
			const fields = {
				header: name.slice(0, MAX_LOGGED_CHARS),
				value: String(headers[name]).slice(0, MAX_LOGGED_CHARS),
				target: target.name,
				service: target.service,
			}
			log({ name: 'target-header-unknown', fields })
		}
	}

	private shouldReport(name: string): boolean {
		if (this.known.has(name) || this.recorded.has(name) || this.recorded.size >= MAX_RECORDED_NAMES)
			return false
		return this.options.dialect.ownHeader.test(name)
	}
}

function namesOf({ leaving, ...names }: HeaderNames): readonly string[] {
	return [...Object.values(names), leaving.header]
}
