import { compareRevisions, type StoreRevision } from '../StoreRevision.js'
import type { ServiceName, SoftwareVersion } from '../ids.js'
import type { Millis } from '../units.js'
import { versionOf, type TargetEntry } from './TargetEntry.js'

/** When a software version of a service was listed. */
interface Introduction {
	/** When this box first saw it listed. */
	readonly at: Millis
	/** Lowest revision of its entries then; orders versions that this box saw at the same time. */
	readonly revision: StoreRevision
	/** When it was last listed; Infinity while it is. */
	readonly listedUntil: Millis
	/** True once all boxes know the version. */
	readonly isConfirmed: boolean
}

type Introductions = Map<SoftwareVersion, Introduction>

/** A version that returns later than this after it left is new again, in ms: boxes may have forgotten it. */
const FORGOTTEN_AFTER_MS: Millis = 30_000

/**
 * Finds the software versions that other boxes may not know yet. A stream that begins at one of them could be resumed at a
 * box that takes an earlier version for the only one.
 */
export class VersionIntroductions {
	private readonly byService = new Map<ServiceName, Introductions>()
	/** Times at which versions were read from a record, which does not state when they were first listed. */
	private readonly recordedAt = new Map<ServiceName, Map<SoftwareVersion, Millis>>()

	/** Replaces the listed targets. */
	note(entries: Iterable<TargetEntry>, now: Millis): void {
		const listed = lowestRevisions(entries)
		for (const [service, introductions] of this.byService) {
			noteUnlisted(introductions, listed.get(service), now)
			if (introductions.size === 0) this.byService.delete(service)
		}
		this.forgetRecorded(now)
		for (const [service, revisions] of listed) {
			const introductions: Introductions = this.byService.get(service) ?? new Map()
			noteListed(introductions, revisions, now)
			this.byService.set(service, introductions)
		}
	}

	/** Notes that a version may have served until now, although this box has not seen it listed. */
	noteRecorded(service: ServiceName, version: SoftwareVersion, now: Millis): void {
		const times = this.recordedAt.get(service) ?? new Map<SoftwareVersion, Millis>()
		times.set(version, now)
		this.recordedAt.set(service, times)
	}

	/** Notes that all boxes know a version. */
	confirm(service: ServiceName, version: SoftwareVersion): void {
		const introductions = this.byService.get(service)
		const introduction = introductions?.get(version)
		if (introduction) introductions?.set(version, { ...introduction, isConfirmed: true })
	}

	/**
	 * The listed versions that other boxes may not know: each that was listed within `holdMs`, later than another version
	 * that has served within that time.
	 */
	heldBack(service: ServiceName, now: Millis, holdMs: Millis): ReadonlySet<SoftwareVersion> {
		const introductions: Introductions = this.byService.get(service) ?? new Map()
		const held = new Set<SoftwareVersion>()
		for (const [version, introduction] of introductions) {
			const isNew = introduction.listedUntil === Infinity && now - introduction.at < holdMs
			if (!isNew || introduction.isConfirmed) continue
			if (this.hasEarlier(service, version, introduction, now - holdMs)) held.add(version)
		}
		return held
	}

	private forgetRecorded(now: Millis): void {
		for (const [service, times] of this.recordedAt) {
			for (const [version, at] of times) if (now - at > FORGOTTEN_AFTER_MS) times.delete(version)
			if (times.size === 0) this.recordedAt.delete(service)
		}
	}

	/** True if another version that was listed before has served since a time. */
	private hasEarlier(
		service: ServiceName,
		version: SoftwareVersion,
		introduction: Introduction,
		since: Millis,
	): boolean {
		const introductions: Introductions = this.byService.get(service) ?? new Map()
		for (const other of introductions.values())
			if (other.listedUntil >= since && isEarlier(other, introduction)) return true
		for (const [other, at] of this.recordedAt.get(service) ?? [])
			if (other !== version && at >= since && !introductions.has(other)) return true
		return false
	}
}

function noteUnlisted(
	introductions: Introductions,
	listed: ReadonlyMap<SoftwareVersion, StoreRevision> | undefined,
	now: Millis,
): void {
	for (const [version, introduction] of introductions) {
		if (listed?.has(version)) continue
		const listedUntil = Math.min(introduction.listedUntil, now)
		if (now - listedUntil > FORGOTTEN_AFTER_MS) introductions.delete(version)
		else introductions.set(version, { ...introduction, listedUntil })
	}
}

function noteListed(
	introductions: Introductions,
	listed: ReadonlyMap<SoftwareVersion, StoreRevision>,
	now: Millis,
): void {
	for (const [version, revision] of listed) {
		const known = introductions.get(version)
		const hasReturned = known !== undefined && now - known.listedUntil <= FORGOTTEN_AFTER_MS
		const introduction = hasReturned ? known : { at: now, revision, isConfirmed: false }
		introductions.set(version, { ...introduction, listedUntil: Infinity })
	}
}

function isEarlier(a: Introduction, b: Introduction): boolean {
	return a.at < b.at || (a.at === b.at && compareRevisions(a.revision, b.revision) < 0)
}

/** The versions of each service, with the lowest revision of their entries. */
function lowestRevisions(
	entries: Iterable<TargetEntry>,
): ReadonlyMap<ServiceName, ReadonlyMap<SoftwareVersion, StoreRevision>> {
	const lowest = new Map<ServiceName, Map<SoftwareVersion, StoreRevision>>()
	for (const entry of entries) {
		const revisions = lowest.get(entry.service) ?? new Map<SoftwareVersion, StoreRevision>()
		const version = versionOf(entry)
		const other = revisions.get(version)
		if (!other || compareRevisions(entry.revision, other) < 0)
			revisions.set(version, entry.revision)
		lowest.set(entry.service, revisions)
	}
	return lowest
}
