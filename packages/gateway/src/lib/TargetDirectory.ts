import {
	ExpiredTargets,
	NO_REVISION,
	RestoredTargetFilter,
	describeRevision,
	isSameRevision,
	type LogEvent,
	type LogEventName,
	type StoreRevision,
	type TargetRegistry,
	type TargetEntry,
	type TargetName,
} from '@stallwing/core'
import type { StoreContact, StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { StoreLayout } from './StoreLayout.js'
import { roundAge } from './roundAge.js'

/** Dependencies of a {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
	readonly registry: TargetRegistry
	readonly readTarget: StoreLayout['readTarget']
	/** Called when a target gets no new work, so that its idle connections can be closed. */
	readonly onDropped: (target: TargetEntry) => void
	/** Called with targets that restarted under the same name, and with targets that are no longer in use. */
	readonly onEnded: (restarted: readonly TargetEntry[], removed: readonly TargetEntry[]) => void
	/** Time since the store last confirmed the list, in ms; Infinity if it never has. */
	readonly listAgeMs: () => number
	/** Time for which the store has been continuously reachable, as far as this box knows, in ms. */
	readonly storeAvailableMs: () => number
	/** Monotonic clock of the registry, in ms. */
	readonly now: () => number
	/** Monotonic clock that includes the time in which the machine is suspended, in ms; used for the expiry of entries. */
	readonly suspendAwareNow: () => number
	/** Wall clock, in ms. */
	readonly wallTime: () => number
	readonly log: (event: LogEvent) => void
}

/** An entry that cannot be read. */
interface UnreadableEntry {
	readonly key: string
	readonly revision: StoreRevision
	readonly what: string
	/** Target that the entry named when it was last readable. */
	readonly target: TargetName | undefined
}

/** Characters of a key or an error that are logged. */
const MAX_LOGGED_CHARS = 200

/** Applies the list of targets from the store to the target registry. */
export class TargetDirectory {
	/** True once the list of targets has been read. */
	isListed = false
	private readonly expired = new ExpiredTargets()
	private readonly restored = new RestoredTargetFilter()
	/** Revision of the newest list. */
	private revision = NO_REVISION
	/** Readable entries of the newest list, by key. */
	private entries = new Map<string, TargetEntry>()
	/** Unreadable entries of the newest list, by key. */
	private unreadable = new Map<string, UnreadableEntry>()

	constructor(private readonly options: TargetDirectoryOptions) {}

	/** Number of targets that are used although the store no longer lists them. */
	get expiredCount(): number {
		return this.expired.expired.length
	}

	/** Number of entries that cannot be read. */
	get unreadableCount(): number {
		return this.unreadable.size
	}

	/** True if a target is used although the store no longer lists it. */
	isExpired(target: TargetName): boolean {
		return this.expired.isExpired(target)
	}

	/** Applies all items of the list as of a revision. */
	applyItems(items: ReadonlyMap<string, StoreItem>, at: StoreRevision): void {
		const entries = new Map<string, TargetEntry>()
		const unreadable = new Map<string, UnreadableEntry>()
		for (const item of items.values()) {
			const lastRead = this.entries.get(item.key)
			if (lastRead && isSameRevision(lastRead.revision, item.revision)) {
				entries.set(item.key, lastRead)
				continue
			}
			const lastUnreadable = this.unreadable.get(item.key)
			if (lastUnreadable && isSameRevision(lastUnreadable.revision, item.revision)) {
				unreadable.set(item.key, lastUnreadable)
				continue
			}
			const read = this.options.readTarget(item)
			if (E.isRight(read)) entries.set(item.key, read.right)
			else
				unreadable.set(
					item.key,
					makeUnreadableEntry(item, read.left.what, lastRead?.name ?? lastUnreadable?.target),
				)
		}
		this.logUnreadable(unreadable)
		this.entries = entries
		this.unreadable = unreadable
		if (at.era !== this.revision.era) this.expired.noteRestored(this.options.suspendAwareNow())
		this.revision = at
		this.applyListedEntries()
		this.isListed = true
	}

	/** Records whether the store is reachable. */
	noteContact(contact: StoreContact): void {
		const { storeAvailableMs, suspendAwareNow } = this.options
		this.expired.noteContact(contact.kind === 'reached', suspendAwareNow(), storeAvailableMs())
	}

	/** Drops unlisted targets when their grace period is over. Must be called several times per second. */
	maintain(): void {
		const now = this.options.suspendAwareNow()
		if (this.restored.isDue(now)) this.applyListedEntries()
		else if (this.expired.expired.length > 0) this.updateRegistry(this.expired.refresh(now))
	}

	/** Updates the registry with the listed targets and those whose entries expired within the grace period. */
	private applyListedEntries(): void {
		const now = this.options.suspendAwareNow()
		const entries = this.restored.apply([...this.entries.values()], this.revision, now)
		const unusable = [...this.unreadable.values()].flatMap(({ target }) => target ?? [])
		const expiredBefore = new Set(this.expired.expired.map((entry) => entry.name))
		this.updateRegistry(this.expired.update(entries, now, unusable))
		const newlyExpired = this.expired.expired.filter((entry) => !expiredBefore.has(entry.name))
		this.logAll('target-lapsed', newlyExpired)
	}

	private updateRegistry(entries: readonly TargetEntry[]): void {
		const { registry, now, wallTime } = this.options
		const changes = registry.replace(entries, now(), wallTime())
		this.logAll('target-joined', changes.added)
		this.logAll('target-leaving', changes.leaving)
		this.logAll('target-gone', changes.removed)
		this.logAll('target-restarted', changes.restarted)
		const dropped = [...changes.removed, ...changes.leaving, ...changes.restarted]
		for (const entry of dropped) this.options.onDropped(entry)
		this.options.onEnded(changes.restarted, changes.removed)
	}

	/** Logs all newly unreadable entries in one event because a faulty writer may leave thousands. */
	private logUnreadable(unreadable: ReadonlyMap<string, UnreadableEntry>): void {
		const newEntries = [...unreadable.values()].filter((entry) => {
			const last = this.unreadable.get(entry.key)
			return !last || !isSameRevision(last.revision, entry.revision)
		})
		const [first] = newEntries
		if (!first) return
		const fields = {
			key: first.key.slice(0, MAX_LOGGED_CHARS),
			what: first.what.slice(0, MAX_LOGGED_CHARS),
			revision: describeRevision(first.revision),
			others: newEntries.length - 1,
		}
		this.options.log({ name: 'target-unreadable', fields })
	}

	private logAll(name: LogEventName, entries: readonly TargetEntry[]): void {
		const listAgeMs = roundAge(this.options.listAgeMs())
		for (const { name: target, service, address, revision } of entries)
			this.options.log({
				name,
				fields: { target, service, address, revision: describeRevision(revision), listAgeMs },
			})
	}
}

function makeUnreadableEntry(
	{ key, revision }: StoreItem,
	what: string,
	target: TargetName | undefined,
): UnreadableEntry {
	return { key, revision, what, target }
}
