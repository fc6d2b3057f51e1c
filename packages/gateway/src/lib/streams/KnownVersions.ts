import type { LogValue, ServiceName, SoftwareVersion, TargetRegistry } from '@stallwing/core'
import { roundAge } from '../roundAge.js'
import type { VersionHistory } from './VersionHistory.js'

/** How current the list of targets is by which this box knows the versions. */
export interface TargetListStatus {
	/** Time since the store last confirmed the list, from when it was asked, in ms; Infinity if it never has. */
	readonly ageMs: number
	/** True if the list is no older than it gets while all calls to the store are answered. */
	readonly isCurrent: boolean
	/**
	 * Since when this box has known each version that was listed, on the clock of the list, in ms; undefined if it has no
	 * list.
	 */
	readonly continuousSince: number | undefined
	/** `store`, or the address of the box that passed the last confirmation on; empty if there was none. */
	readonly confirmedBy: string
}

/** Dependencies of {@link KnownVersions}. */
export interface KnownVersionsOptions {
	readonly versions: TargetRegistry['versions']
	readonly targetList: () => TargetListStatus
	readonly history: Pick<VersionHistory, 'isKnown' | 'isSeen'>
	/** False until the other boxes have had time to list this one; they do not ask it about new versions before. */
	readonly isListedByOthers: () => boolean
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

/** The software versions that have served recently, as far as this box knows, and whether these are all. */
export class KnownVersions {
	/**
	 * Services of which the other boxes have named no other version since this box has known each listed one, with the value of
	 * `continuousSince` at that time: what happened in a later gap is unknown again.
	 */
	private readonly askedSince = new Map<ServiceName, number | undefined>()

	constructor(private readonly options: KnownVersionsOptions) {}

	/** True if this box knows the targets of all services. */
	get isListCurrent(): boolean {
		return this.options.targetList().isCurrent
	}

	/** False if this box does not know which versions served before it started, or while it was out of touch. */
	get isHistoryKnown(): boolean {
		return this.options.history.isKnown
	}

	recentOf(service: ServiceName): ReadonlySet<SoftwareVersion> {
		return this.options.versions.recentOf(service, this.options.now())
	}

	isMixed(service: ServiceName): boolean {
		return this.options.versions.isMixed(service, this.options.now())
	}

	/** True if this box knows all versions at which a stream of the service can have begun. */
	isComplete(service: ServiceName): boolean {
		return this.isListCurrent && this.knowsHistory(service)
	}

	/** True if other boxes need not be asked: this box has seen all versions itself, or has asked before. */
	isCertain(service: ServiceName): boolean {
		if (!this.isListedByOthers || !this.isListCurrent) return false
		return this.options.history.isSeen || this.hasAsked(service)
	}

	/** False until the other boxes have had time to list this one. */
	get isListedByOthers(): boolean {
		return this.options.isListedByOthers()
	}

	/** Notes that the other boxes were asked, and that there is a single version. */
	noteSingle(service: ServiceName): void {
		this.askedSince.set(service, this.options.targetList().continuousSince)
	}

	/** What this box knows about a service, and how current it is, for the log. */
	describe(service: ServiceName): Readonly<Record<string, LogValue>> {
		const { ageMs, confirmedBy } = this.options.targetList()
		return {
			known: [...this.recentOf(service)].join(' '),
			knowsHistory: this.knowsHistory(service),
			targetListAgeMs: roundAge(ageMs),
			targetListConfirmedBy: confirmedBy,
		}
	}

	private knowsHistory(service: ServiceName): boolean {
		return this.isHistoryKnown || this.hasAsked(service)
	}

	private hasAsked(service: ServiceName): boolean {
		const { continuousSince } = this.options.targetList()
		return continuousSince !== undefined && this.askedSince.get(service) === continuousSince
	}
}
