import type { LogEvent } from '@stallwing/core'
import { roundAge } from '../roundAge.js'
import type { FeedSourceStatus } from './FeedSourceStatus.js'

/** Sources of a {@link ConfigurationMonitor}. */
export interface ConfigurationMonitorOptions {
	/** Active version; undefined before the first configuration. */
	readonly version: () => number | undefined
	/** True while the store has confirmed the configuration within the time that operators rely on. */
	readonly isCurrent: () => boolean
	/** Time since the store last confirmed the configuration, in ms; Infinity if it never has. */
	readonly confirmationAgeMs: () => number
	/** What the calls to the store and to other boxes have brought. */
	readonly sources: () => FeedSourceStatus
	/** Delays of this box, in ms. */
	readonly delays: () => Readonly<Record<'boxDelayMs' | 'linkDelayMs', number>>
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/**
 * Logs when the store has not confirmed the configuration of this box for longer than operators rely on, and when it has
 * confirmed it again.
 */
export class ConfigurationMonitor {
	private unconfirmedSince: number | undefined

	constructor(private readonly options: ConfigurationMonitorOptions) {}

	/** Must be called several times per second. */
	check(): void {
		const { isCurrent, now, version } = this.options
		if (version() === undefined) return
		if (!isCurrent()) {
			if (this.unconfirmedSince === undefined) this.logUnconfirmed()
			this.unconfirmedSince ??= now()
			return
		}
		if (this.unconfirmedSince !== undefined) this.logConfirmed(now() - this.unconfirmedSince)
		this.unconfirmedSince = undefined
	}

	private logUnconfirmed(): void {
		const { confirmationAgeMs, delays, log, sources, version } = this.options
		log({
			name: 'configuration-unconfirmed',
			fields: {
				version: version() ?? -1,
				confirmationAgeMs: roundAge(confirmationAgeMs()),
				...sources(),
				...delays(),
			},
		})
	}

	private logConfirmed(unconfirmedMs: number): void {
		const { log, sources, version } = this.options
		log({
			name: 'configuration-confirmed',
			fields: {
				version: version() ?? -1,
				unconfirmedMs: Math.round(unconfirmedMs),
				...sources(),
			},
		})
	}
}
