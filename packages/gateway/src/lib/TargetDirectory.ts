import {
	LapsedTargets,
	NO_REVISION,
	RestoredTargets,
	describeRevision,
	isSameRevision,
	type LogEvent,
	type LogEventName,
	type StoreRevision,
	type TargetBoard,
	type TargetEntry,
	type TargetName,
} from '@stallwing/core'
import type { StoreContact, StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { Documents } from './Documents.js'
import { roundAge } from './roundAge.js'

/** What a {@link TargetDirectory} works with. */
export interface TargetDirectoryOptions {
	readonly board: TargetBoard
	readonly readTarget: Documents['readTarget']
	/** A target gets no new work: its idle connections can go. */
	readonly onDropped: (target: TargetEntry) => void
	/** Lives of targets are over: they started again under their names, or are no longer listed. */
	readonly onEnded: (restarted: readonly TargetEntry[], gone: readonly TargetEntry[]) => void
	/** Time since the store last vouched for the list, in ms; Infinity: never. */
	readonly listAgeMs: () => number
	/** Time for which the store has answered without a break, as far as this box knows, in ms. */
	readonly answeredMs: () => number
	/** Steady clock of the board, in ms. */
	readonly now: () => number
	/** Clock that counts suspended time, in ms: entries run out by it. */
	readonly worldNow: () => number
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
const MOST_LOGGED_CHARS = 200

/** Takes the list of targets from the store to the board. */
export class TargetDirectory {
	/** True once the targets have been listed. */
	listed = false
	private readonly lapsed = new LapsedTargets()
	private readonly restored = new RestoredTargets()
	/** Revision of the list. */
	private at = NO_REVISION
	/** Entries as they were last read, by key. */
	private entries = new Map<string, TargetEntry>()
	/** Entries that can't be read, by key. */
	private unreadable = new Map<string, UnreadableEntry>()

	constructor(private readonly options: TargetDirectoryOptions) {}

	/** Targets that are used although the store no longer lists them. */
	get lapsedCount(): number {
		return this.lapsed.lapsed.length
	}

	/** Entries that can't be read: they name no target. */
	get unreadableCount(): number {
		return this.unreadable.size
	}

	/** True where a target is used although the store no longer lists it. */
	isLapsed(target: TargetName): boolean {
		return this.lapsed.isLapsed(target)
	}

	/** Takes all items of the list, as they are known up to a revision. */
	takeItems(items: ReadonlyMap<string, StoreItem>, at: StoreRevision): void {
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
				unreadable.set(item.key, unreadableOf(item, read.left.what, known?.name ?? refused?.target))
		}
		this.logUnreadable(unreadable)
		this.entries = entries
		this.unreadable = unreadable
		if (at.era !== this.at.era) this.lapsed.noteRestored(this.options.worldNow())
		this.at = at
		this.useListed()
		this.listed = true
	}

	/** The store answers again, or does not. */
	noteContact(contact: StoreContact): void {
		const { answeredMs, worldNow } = this.options
		this.lapsed.noteContact(contact.kind === 'reached', worldNow(), answeredMs())
	}

	/** Lets go of targets that are still missing. To be called some times a second. */
	maintain(): void {
		const now = this.options.worldNow()
		if (this.restored.isDue(now)) this.useListed()
		else if (this.lapsed.lapsed.length > 0) this.use(this.lapsed.retake(now))
	}

	/** Uses the targets of the list, and those whose entries ran out a moment ago. */
	private useListed(): void {
		const now = this.options.worldNow()
		const entries = this.restored.take([...this.entries.values()], this.at, now)
		const unusable = [...this.unreadable.values()].flatMap(({ target }) => target ?? [])
		const lapsedBefore = new Set(this.lapsed.lapsed.map((entry) => entry.name))
		this.use(this.lapsed.take(entries, now, unusable))
		const lapsed = this.lapsed.lapsed.filter((entry) => !lapsedBefore.has(entry.name))
		this.logAll('target-lapsed', lapsed)
	}

	private use(entries: readonly TargetEntry[]): void {
		const { board, now, wallTime } = this.options
		const changes = board.replace(entries, now(), wallTime())
		this.logAll('target-joined', changes.joined)
		this.logAll('target-leaving', changes.leaving)
		this.logAll('target-gone', changes.gone)
		this.logAll('target-restarted', changes.restarted)
		const dropped = [...changes.gone, ...changes.leaving, ...changes.restarted]
		for (const entry of dropped) this.options.onDropped(entry)
		this.options.onEnded(changes.restarted, changes.gone)
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
			key: first.key.slice(0, MOST_LOGGED_CHARS),
			what: first.what.slice(0, MOST_LOGGED_CHARS),
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

function unreadableOf(
	{ key, revision }: StoreItem,
	what: string,
	target: TargetName | undefined,
): UnreadableEntry {
	return { key, revision, what, target }
}
