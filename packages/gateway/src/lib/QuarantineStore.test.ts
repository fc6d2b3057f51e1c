import {
	PartQuarantine,
	RequestQuarantine,
	brandId,
	type LogEvent,
	type RequestFingerprint,
	type TargetIncarnation,
} from '@stallwing/core'
import { MemoryStore, type CallOutcome } from '@stallwing/standins'
import type { KeyValueStore } from '@stallwing/store'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { QuarantineStore } from './QuarantineStore.js'
import { sleep } from './sleep.js'

const KEY = 'quarantine'

function identityOf(hexDigit: string) {
	return { fingerprint: brandId<RequestFingerprint>(hexDigit.repeat(32)), hint: 1 }
}

/** The parts of a box that store quarantined requests. */
class Box {
	readonly quarantine = new RequestQuarantine()
	readonly parts = new PartQuarantine()
	readonly logEvents: LogEvent[] = []
	readonly quarantineStore: QuarantineStore

	private readonly store: KeyValueStore

	constructor(store: MemoryStore, name: string) {
		this.store = store.connect(name)
		this.quarantineStore = new QuarantineStore({
			store: this.store,
			key: KEY,
			quarantine: this.quarantine,
			parts: this.parts,
			onPartsReceived: (records) => this.parts.merge(records),
			onRecordsReceived: () => undefined,
			now: () => Date.now(),
			wallTime: () => Date.now(),
			log: (event) => this.logEvents.push(event),
		})
	}

	crash(hexDigit: string, times: number): void {
		for (let i = 0; i < times; i++) {
			const endedAt = Date.now() - 1_000 + 100 * i
			const run = {
				incarnation: brandId<TargetIncarnation>(`${hexDigit}-${i}`),
				startedAt: endedAt - 50,
				endedAt,
			}
			this.quarantine.recordCrash(identityOf(hexDigit), run, Date.now())
		}
	}

	/** Reads the stored document, then saves what it lacks. */
	async syncWithStore(): Promise<void> {
		const listing = await this.store.listStale(KEY)
		this.quarantineStore.applyStored(listing._tag === 'Right' ? listing.right[0] : undefined)
		await this.quarantineStore.save()
	}

	stageOf(hexDigit: string): string {
		return this.quarantine.stageOf(identityOf(hexDigit).fingerprint)
	}
}

describe('QuarantineStore', () => {
	let store: MemoryStore
	let callOutcome: CallOutcome

	beforeEach(() => {
		vi.useFakeTimers()
		callOutcome = 'served'
		store = new MemoryStore({ now: () => Date.now(), sleep, outcomeOf: () => callOutcome })
	})

	afterEach(() => vi.useRealTimers())

	async function settle(work: Promise<void>): Promise<void> {
		await vi.advanceTimersByTimeAsync(2_000)
		await work
	}

	it('writes nothing if requests are suspect but none is quarantined', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 2)
		await settle(box.quarantineStore.save())
		expect(store.callCounts.get('write') ?? 0).toBe(0)
	})

	it('restores quarantined requests after a restart', async () => {
		const before = new Box(store, 'a')
		before.crash('1', 3)
		await settle(before.quarantineStore.save())
		const after = new Box(store, 'a')
		await settle(after.syncWithStore())
		expect(after.stageOf('1')).toBe('quarantined')
		expect(store.callCounts.get('write')).toBe(1)
	})

	it('merges concurrent writes of two boxes', async () => {
		const [a, b] = [new Box(store, 'a'), new Box(store, 'b')]
		a.crash('1', 3)
		b.crash('2', 3)
		await settle(
			Promise.all([a.quarantineStore.save(), b.quarantineStore.save()]).then(() => undefined),
		)
		const later = new Box(store, 'c')
		await settle(later.syncWithStore())
		expect([later.stageOf('1'), later.stageOf('2')]).toEqual(['quarantined', 'quarantined'])
	})

	it('repeats a failed write, and saves that a request was cleared', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 3)
		callOutcome = 'refused'
		await settle(box.quarantineStore.save())
		expect(box.logEvents.map((event) => event.name)).toEqual(['quarantine-not-stored'])
		callOutcome = 'served'
		await settle(box.syncWithStore())
		box.quarantine.clear(identityOf('1').fingerprint, Date.now())
		await settle(box.quarantineStore.save())
		const later = new Box(store, 'b')
		await settle(later.syncWithStore())
		expect(later.stageOf('1')).toBe('free')
	})

	it('replaces an unreadable document with its own records', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 3)
		store.put(KEY, '{"writtenAt":"now"}')
		await settle(box.syncWithStore())
		expect(box.logEvents.map((event) => event.name)).toEqual(['quarantine-unreadable'])
		const later = new Box(store, 'b')
		await settle(later.syncWithStore())
		expect(later.stageOf('1')).toBe('quarantined')
	})

	it('saves its records again after the store was restored from a backup', async () => {
		const box = new Box(store, 'a')
		const backups = [store.snapshot()]
		box.crash('1', 3)
		await settle(box.syncWithStore())
		backups.push(store.snapshot())
		box.crash('2', 3)
		await settle(box.syncWithStore())
		for (const backup of backups) {
			store.restore(backup)
			await vi.advanceTimersByTimeAsync(1_000)
			await settle(box.syncWithStore())
			await settle(box.syncWithStore())
			const later = new Box(store, 'b')
			await settle(later.syncWithStore())
			expect([later.stageOf('1'), later.stageOf('2')]).toEqual(['quarantined', 'quarantined'])
		}
	})
})
