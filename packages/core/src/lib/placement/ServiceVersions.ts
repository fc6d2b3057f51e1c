import type { ServiceName, SoftwareVersion } from '../ids.js'
import type { Millis } from '../units.js'
import { versionOf, type TargetEntry } from './TargetEntry.js'
import { VersionIntroductions } from './VersionIntroductions.js'

/**
 * Maximum age of a stream that can be resumed, in ms. Any version that served within this time may have begun it.
 * @public
 */
export const MAX_STREAM_AGE_MS: Millis = 60_000

/** The software versions that serve each service, and those that did so recently. */
export class ServiceVersions {
	/** Which of the listed versions other boxes may not know yet. */
	readonly introductions = new VersionIntroductions()
	/** Number of listed targets, by version. */
	private listed = new Map<ServiceName, Map<SoftwareVersion, number>>()
	/** Times at which versions were last listed, by service. */
	private readonly lastListedAt = new Map<ServiceName, Map<SoftwareVersion, Millis>>()

	/** Replaces the listed targets. */
	note(entries: readonly TargetEntry[], now: Millis): void {
		this.introductions.note(entries, now)
		for (const [service, versions] of this.listed)
			for (const version of versions.keys()) this.noteListed(service, version, now)
		this.listed = new Map()
		for (const entry of entries) this.count(entry)
		this.forgetOld(now)
	}

	/** Number of listed targets of a service, by version. */
	countsOf(service: ServiceName): ReadonlyMap<SoftwareVersion, number> {
		return this.listed.get(service) ?? new Map<SoftwareVersion, number>()
	}

	/** Notes that a version may have served until now, although this box has not seen it listed. */
	noteRecorded(service: ServiceName, version: SoftwareVersion, now: Millis): void {
		if (!this.recentOf(service, now).has(version))
			this.introductions.noteRecorded(service, version, now)
		this.noteListed(service, version, now)
	}

	/** The services with targets that have served within {@link MAX_STREAM_AGE_MS}. */
	servicesSince(now: Millis): readonly ServiceName[] {
		const services = new Set([...this.listed.keys(), ...this.lastListedAt.keys()])
		return [...services].filter((service) => this.recentOf(service, now).size > 0)
	}

	/** Versions of the targets that have served within {@link MAX_STREAM_AGE_MS}. */
	recentOf(service: ServiceName, now: Millis): ReadonlySet<SoftwareVersion> {
		const versions = new Set(this.countsOf(service).keys())
		for (const [version, at] of this.lastListedAt.get(service) ?? [])
			if (now - at <= MAX_STREAM_AGE_MS) versions.add(version)
		return versions
	}

	/** True if targets of several versions have served within {@link MAX_STREAM_AGE_MS}. */
	isMixed(service: ServiceName, now: Millis): boolean {
		return this.recentOf(service, now).size > 1
	}

	private count(entry: TargetEntry): void {
		const versions = this.listed.get(entry.service) ?? new Map<SoftwareVersion, number>()
		const version = versionOf(entry)
		versions.set(version, (versions.get(version) ?? 0) + 1)
		this.listed.set(entry.service, versions)
	}

	private noteListed(service: ServiceName, version: SoftwareVersion, now: Millis): void {
		const times = this.lastListedAt.get(service) ?? new Map<SoftwareVersion, Millis>()
		times.set(version, now)
		this.lastListedAt.set(service, times)
	}

	private forgetOld(now: Millis): void {
		for (const [service, times] of this.lastListedAt) {
			for (const [version, at] of times) if (now - at > MAX_STREAM_AGE_MS) times.delete(version)
			if (times.size === 0) this.lastListedAt.delete(service)
		}
	}
}
