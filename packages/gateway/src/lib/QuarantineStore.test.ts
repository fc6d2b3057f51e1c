import {
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

function identityOf(digit: string) {
	return { fingerprint: brandId<RequestFingerprint>(digit.repeat(32)), hint: 1 }
}

/** One box, as far as it keeps quarantined requests. */
class Box {
	readonly quarantine = new RequestQuarantine()
	readonly logEvents: LogEvent[] = []
	readonly quarantineStore: QuarantineStore

	private readonly store: KeyValueStore

	constructor(store: MemoryStore, name: string) {
		this.store = store.connect(name)
		this.quarantineStore = new QuarantineStore({
			store: this.store,
			key: KEY,
			quarantine: this.quarantine,
			onRecordsReceived: () => undefined,
			now: () => Date.now(),
			wallTime: () => Date.now(),
			log: (event) => this.logEvents.push(event),
		})
	}

	crash(digit: string, times: number): void {
		for (let i = 0; i < times; i++) {
			const endedAt = Date.now() - 1_000 + 100 * i
			const run = {
				incarnation: brandId<TargetIncarnation>(`${digit}-${i}`),
				startedAt: endedAt - 50,
				endedAt,
			}
			this.quarantine.recordCrash(identityOf(digit), run, Date.now())
		}
	}

	/** Reads the record of the fleet, as with the list of boxes, and writes what it lacks. */
	async syncWithStore(): Promise<void> {
		const listing = await this.store.listStale(KEY)
		this.quarantineStore.applyStored(listing._tag === 'Right' ? listing.right[0] : undefined)
		await this.quarantineStore.save()
	}

	stageOf(digit: string): string {
		return this.quarantine.stageOf(identityOf(digit).fingerprint)
	}
}

describe('QuarantineStore', () => {
	let store: MemoryStore
	let fate: CallOutcome

	beforeEach(() => {
		vi.useFakeTimers()
		fate = 'served'
		store = new MemoryStore({ now: () => Date.now(), sleep, outcomeOf: () => fate })
	})

	afterEach(() => vi.useRealTimers())

	async function done(work: Promise<void>): Promise<void> {
		await vi.advanceTimersByTimeAsync(2_000)
		await work
	}

	it('writes nothing where no request is quarantined, also where some are suspect', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 2)
		await done(box.quarantineStore.save())
		expect(store.callCounts.get('write') ?? 0).toBe(0)
	})

	it('tells a process that starts later', async () => {
		const before = new Box(store, 'a')
		before.crash('1', 3)
		await done(before.quarantineStore.save())
		const after = new Box(store, 'a')
		await done(after.syncWithStore())
		expect(after.stageOf('1')).toBe('quarantined')
		expect(store.callCounts.get('write')).toBe(1)
	})

	it('keeps what two boxes write at the same time', async () => {
		const [a, b] = [new Box(store, 'a'), new Box(store, 'b')]
		a.crash('1', 3)
		b.crash('2', 3)
		await done(
			Promise.all([a.quarantineStore.save(), b.quarantineStore.save()]).then(() => undefined),
		)
		const later = new Box(store, 'c')
		await done(later.syncWithStore())
		expect([later.stageOf('1'), later.stageOf('2')]).toEqual(['quarantined', 'quarantined'])
	})

	it('writes later what could not be written, and tells of a request that was cleared', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 3)
		fate = 'refused'
		await done(box.quarantineStore.save())
		expect(box.logEvents.map((event) => event.name)).toEqual(['quarantine-not-stored'])
		fate = 'served'
		await done(box.syncWithStore())
		box.quarantine.clear(identityOf('1').fingerprint, Date.now())
		await done(box.quarantineStore.save())
		const later = new Box(store, 'b')
		await done(later.syncWithStore())
		expect(later.stageOf('1')).toBe('free')
	})

	it('refuses a record of another writer, keeps what it knows and replaces it', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 3)
		store.put(KEY, '{"writtenAt":"now"}')
		await done(box.syncWithStore())
		expect(box.logEvents.map((event) => event.name)).toEqual(['quarantine-unreadable'])
		const later = new Box(store, 'b')
		await done(later.syncWithStore())
		expect(later.stageOf('1')).toBe('quarantined')
	})

	it('is written again where the store came back without it', async () => {
		const box = new Box(store, 'a')
		const copies = [store.snapshot()]
		box.crash('1', 3)
		await done(box.syncWithStore())
		copies.push(store.snapshot())
		box.crash('2', 3)
		await done(box.syncWithStore())
		for (const copy of copies) {
			store.restore(copy)
			await vi.advanceTimersByTimeAsync(1_000)
			await done(box.syncWithStore())
			await done(box.syncWithStore())
			const later = new Box(store, 'b')
			await done(later.syncWithStore())
			expect([later.stageOf('1'), later.stageOf('2')]).toEqual(['quarantined', 'quarantined'])
		}
	})
})
