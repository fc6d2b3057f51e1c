import type { LogEvent, TargetEntry } from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { Dialect, HeaderNames } from './Dialect.js'
import type { ResponseHead } from './sendToTarget.js'

/** Dependencies of {@link UnknownHeaders}. */
export interface UnknownHeadersOptions {
	readonly dialect: Pick<Dialect, 'headers' | 'platformHeaderPattern' | 'ignoredHeaders'>
	readonly metrics: Metrics
	readonly log: (event: LogEvent) => void
}

/** Further names are ignored. */
const MAX_RECORDED_NAMES = 50
/** Characters of a name and of a value in a log event. */
const MAX_LOGGED_CHARS = 80

/**
 * Reports platform headers that this version does not know. Counts and logs each name once, so that a protocol change
 * is visible before ignoring it causes a failure.
 */
export class UnknownHeaders {
	private readonly knownNames: ReadonlySet<string>
	private readonly recordedNames = new Set<string>()

	constructor(private readonly options: UnknownHeadersOptions) {
		const { headers, ignoredHeaders } = options.dialect
		this.knownNames = new Set([...headerNamesOf(headers), ...ignoredHeaders])
	}

	/** Checks the headers of a response. */
	inspect({ headers }: ResponseHead, target: TargetEntry): void {
		const { log, metrics } = this.options
		for (const name in headers) {
			if (!this.shouldReport(name)) continue
			this.recordedNames.add(name)
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
		if (
			this.knownNames.has(name) ||
			this.recordedNames.has(name) ||
			this.recordedNames.size >= MAX_RECORDED_NAMES
		)
			return false
		return this.options.dialect.platformHeaderPattern.test(name)
	}
}

function headerNamesOf({ leaving, ...names }: HeaderNames): readonly string[] {
	return [...Object.values(names), leaving.header]
}
