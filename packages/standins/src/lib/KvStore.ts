import type { Millis, PlatformOp, PlatformResult } from '@stallwing/core'

interface Entry {
	value: unknown
	revision: number
	leaseId: string | undefined
}

interface Watcher {
	readonly key: string
	readonly afterRevision: number
	readonly deadline: Millis
	readonly respond: (result: PlatformResult) => void
}

/** Number of calls that a store has received. @public */
export interface CallCounts {
	reads: number
	writes: number
	watches: number
}

const MAX_VALUE_BYTES = 1_048_576

/**
 * The platform's key-value store in memory: compare-and-swap, leases, watches. Callers pass the current time, so that
 * the store also works in simulations with virtual time.
 * @public
 */
export class KvStore {
	readonly counts: CallCounts = { reads: 0, writes: 0, watches: 0 }
	private readonly entries = new Map<string, Entry>()
	private readonly leases = new Map<string, { ttlMs: Millis; expiresAt: Millis }>()
	private watchers: Watcher[] = []
	private revision = 0
	private nextLeaseId = 1

	/** Performs one call. A watch may call `respond` later. */
	call(op: PlatformOp, now: Millis, respond: (result: PlatformResult) => void): void {
		this.expire(now)
		switch (op.kind) {
			case 'get':
				this.counts.reads++
				respond(this.get(op.key))
				return
			case 'cas':
				this.counts.writes++
				respond(this.compareAndSwap(op))
				return
			case 'lease-create':
			case 'lease-renew':
			case 'lease-drop':
				this.counts.writes++
				respond(this.handleLeaseCall(op, now))
				return
			case 'watch':
				this.counts.watches++
				this.watch(op, now, respond)
		}
	}

	/** Removes expired leases, and answers watches that have reached their timeout. */
	expire(now: Millis): void {
		for (const [lease, { expiresAt }] of this.leases) if (expiresAt <= now) this.removeLease(lease)
		const due = this.watchers.filter((watcher) => watcher.deadline <= now)
		if (due.length === 0) return
		this.watchers = this.watchers.filter((watcher) => watcher.deadline > now)
		for (const watcher of due) watcher.respond(this.get(watcher.key))
	}

	/** Returns all entries whose key starts with the prefix. */
	list(prefix: string): { key: string; value: unknown }[] {
		const found: { key: string; value: unknown }[] = []
		for (const [key, entry] of this.entries)
			if (key.startsWith(prefix)) found.push({ key, value: structuredClone(entry.value) })
		return found
	}

	private get(key: string): PlatformResult {
		const entry = this.entries.get(key)
		if (!entry) return { kind: 'absent' }
		return { kind: 'value', revision: entry.revision, value: structuredClone(entry.value) }
	}

	private compareAndSwap(op: Extract<PlatformOp, { kind: 'cas' }>): PlatformResult {
		const entry = this.entries.get(op.key)
		const current = entry?.revision ?? 0
		if (current !== op.expected) return { kind: 'conflict', revision: current }
		if (op.lease !== undefined && !this.leases.has(op.lease)) return { kind: 'lease-lost' }
		if (JSON.stringify(op.value).length > MAX_VALUE_BYTES)
			return { kind: 'refused', retryAfterMs: 0 }
		const revision = ++this.revision
		this.entries.set(op.key, { value: structuredClone(op.value), revision, leaseId: op.lease })
		this.notifyWatchers(op.key)
		return { kind: 'written', revision }
	}

	private handleLeaseCall(
		op: Extract<PlatformOp, { kind: 'lease-create' | 'lease-renew' | 'lease-drop' }>,
		now: Millis,
	): PlatformResult {
		if (op.kind === 'lease-create') {
			const lease = `lease-${this.nextLeaseId++}`
			this.leases.set(lease, { ttlMs: op.ttlMs, expiresAt: now + op.ttlMs })
			return { kind: 'lease', lease }
		}
		const held = this.leases.get(op.lease)
		if (!held) return { kind: 'lease-lost' }
		if (op.kind === 'lease-drop') this.removeLease(op.lease)
		else held.expiresAt = now + held.ttlMs
		return { kind: 'lease', lease: op.lease }
	}

	private removeLease(lease: string): void {
		this.leases.delete(lease)
		for (const [key, entry] of this.entries) {
			if (entry.leaseId !== lease) continue
			this.entries.delete(key)
			this.revision++
		}
	}

	private watch(
		op: Extract<PlatformOp, { kind: 'watch' }>,
		now: Millis,
		respond: (result: PlatformResult) => void,
	): void {
		const entry = this.entries.get(op.key)
		if (entry && entry.revision > op.after) respond(this.get(op.key))
		else
			this.watchers.push({
				key: op.key,
				afterRevision: op.after,
				deadline: now + op.timeoutMs,
				respond,
			})
	}

	private notifyWatchers(key: string): void {
		const due = this.watchers.filter((watcher) => watcher.key === key)
		if (due.length === 0) return
		this.watchers = this.watchers.filter((watcher) => watcher.key !== key)
		for (const watcher of due) watcher.respond(this.get(key))
	}
}
