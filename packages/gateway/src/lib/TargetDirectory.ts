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

/** What a {@link TargetDirectory} works with. */
export interface TargetDirectoryOptions {
	readonly registry: TargetRegistry
	readonly readTarget: StoreLayout['readTarget']
	/** A target gets no new work: its idle connections can go. */
	readonly onDropped: (target: TargetEntry) => void
	/** Lives of targets are over: they started again under their names, or are no longer listed. */
	readonly onEnded: (restarted: readonly TargetEntry[], gone: readonly TargetEntry[]) => void
	/** Time since the store last vouched for the list, in ms; Infinity: never. */
	readonly listAgeMs: () => number
	/** Time for which the store has answered without a break, as far as this box knows, in ms. */
	readonly storeAvailableMs: () => number
	/** Steady clock of the board, in ms. */
	readonly now: () => number
	/** Clock that counts suspended time, in ms: entries run out by it. */
	readonly suspendAwareNow: () => number
	/** Time of day, in ms. */
	readonly wallTime: () => number
	readonly log: (event: LogEvent) => void
}

/** An entry that can't be read. */
interface UnreadableEntry {
	readonly key: string
	readonly revision: StoreRevision
	readonly what: string
	/** The target that it named before. */
	readonly target: TargetName | undefined
}

/** Characters of a key or a cause that a log line holds. */
const MAX_LOGGED_CHARS = 200

/** Takes the list of targets from the store to the board. */
export class TargetDirectory {
	/** True once the targets have been listed. */
	isListed = false
	private readonly expired = new ExpiredTargets()
	private readonly restored = new RestoredTargetFilter()
	/** Revision of the list. */
	private revision = NO_REVISION
	/** Entries as they were last read, by key. */
	private entries = new Map<string, TargetEntry>()
	/** Entries that can't be read, by key. */
	private unreadable = new Map<string, UnreadableEntry>()

	constructor(private readonly options: TargetDirectoryOptions) {}

	/** Targets that are used although the store no longer lists them. */
	get lapsedCount(): number {
		return this.expired.lapsed.length
	}

	/** Entries that can't be read: they name no target. */
	get unreadableCount(): number {
		return this.unreadable.size
	}

	/** True where a target is used although the store no longer lists it. */
	isExpired(target: TargetName): boolean {
		return this.expired.isExpired(target)
	}

	/** Takes all items of the list, as they are known up to a revision. */
	applyItems(items: ReadonlyMap<string, StoreItem>, at: StoreRevision): void {
		const entries = new Map<string, TargetEntry>()
		const unreadable = new Map<string, UnreadableEntry>()
		for (const item of items.values()) {
			const known = this.entries.get(item.key)
			if (known && isSameRevision(known.revision, item.revision)) {
				entries.set(item.key, known)
				continue
			}
			const refused = this.unreadable.get(item.key)
			if (refused && isSameRevision(refused.revision, item.revision)) {
				unreadable.set(item.key, refused)
				continue
			}
			const read = this.options.readTarget(item)
			if (E.isRight(read)) entries.set(item.key, read.right)
			else
				unreadable.set(
					item.key,
					makeUnreadableEntry(item, read.left.what, known?.name ?? refused?.target),
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

	/** The store answers again, or does not. */
	noteContact(contact: StoreContact): void {
		const { storeAvailableMs: answeredMs, suspendAwareNow: worldNow } = this.options
		this.expired.noteContact(contact.kind === 'reached', worldNow(), answeredMs())
	}

	/** Lets go of targets that are still missing. To be called some times a second. */
	maintain(): void {
		const now = this.options.suspendAwareNow()
		if (this.restored.isDue(now)) this.applyListedEntries()
		else if (this.expired.lapsed.length > 0) this.updateBoard(this.expired.refresh(now))
	}

	/** Uses the targets of the list, and those whose entries ran out a moment ago. */
	private applyListedEntries(): void {
		const now = this.options.suspendAwareNow()
		const entries = this.restored.apply([...this.entries.values()], this.revision, now)
		const unusable = [...this.unreadable.values()].flatMap(({ target }) => target ?? [])
		const lapsedBefore = new Set(this.expired.lapsed.map((entry) => entry.name))
		this.updateBoard(this.expired.update(entries, now, unusable))
		const lapsed = this.expired.lapsed.filter((entry) => !lapsedBefore.has(entry.name))
		this.logAll('target-lapsed', lapsed)
	}

	private updateBoard(entries: readonly TargetEntry[]): void {
		const { registry: board, now, wallTime } = this.options
		const changes = board.replace(entries, now(), wallTime())
		this.logAll('target-joined', changes.added)
		this.logAll('target-leaving', changes.leaving)
		this.logAll('target-gone', changes.removed)
		this.logAll('target-restarted', changes.restarted)
		const dropped = [...changes.removed, ...changes.leaving, ...changes.restarted]
		for (const entry of dropped) this.options.onDropped(entry)
		this.options.onEnded(changes.restarted, changes.removed)
	}

	/** One line for all entries that newly can't be read: another writer may leave thousands. */
	private logUnreadable(unreadable: ReadonlyMap<string, UnreadableEntry>): void {
		const news = [...unreadable.values()].filter((entry) => {
			const known = this.unreadable.get(entry.key)
			return !known || !isSameRevision(known.revision, entry.revision)
		})
		const [first] = news
		if (!first) return
		const fields = {
			key: first.key.slice(0, MAX_LOGGED_CHARS),
			what: first.what.slice(0, MAX_LOGGED_CHARS),
			revision: describeRevision(first.revision),
			others: news.length - 1,
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
