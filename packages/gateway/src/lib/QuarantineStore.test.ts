import {
	RequestQuarantine,
	brandId,
	type LogEvent,
	type RequestFingerprint,
	type TargetIncarnation,
} from '@stallwing/core'
import { MemoryStore, type CallFate } from '@stallwing/standins'
import type { KeyValueStore } from '@stallwing/store'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { QuarantineStore } from './QuarantineStore.js'
import { sleep } from './sleep.js'

const KEY = 'quarantine'

function identity(digit: string) {
	return { fingerprint: brandId<RequestFingerprint>(digit.repeat(32)), hint: 1 }
}

/** One box, as far as it keeps quarantined requests. */
class Box {
	readonly quarantine = new RequestQuarantine()
	readonly logged: LogEvent[] = []
	readonly kept: QuarantineStore

	private readonly store: KeyValueStore

	constructor(store: MemoryStore, name: string) {
		this.store = store.connect(name)
		this.kept = new QuarantineStore({
			store: this.store,
			key: KEY,
			quarantine: this.quarantine,
			onHeard: () => undefined,
			now: () => Date.now(),
			wallTime: () => Date.now(),
			log: (event) => this.logged.push(event),
		})
	}

	crash(digit: string, times: number): void {
		for (let i = 0; i < times; i++) {
			const endedAt = Date.now() - 1_000 + 100 * i
			const run = {
				life: brandId<TargetIncarnation>(`${digit}-${i}`),
				beganAt: endedAt - 50,
				endedAt,
			}
			this.quarantine.recordCrash(identity(digit), run, Date.now())
		}
	}

	/** Reads the record of the fleet, as with the list of boxes, and writes what it lacks. */
	async meet(): Promise<void> {
		const listing = await this.store.listStale(KEY)
		this.kept.adopt(listing._tag === 'Right' ? listing.right[0] : undefined)
		await this.kept.save()
	}

	stageOf(digit: string): string {
		return this.quarantine.stageOf(identity(digit).fingerprint)
	}
}

describe('QuarantineStore', () => {
	let store: MemoryStore
	let fate: CallFate

	beforeEach(() => {
		vi.useFakeTimers()
		fate = 'served'
		store = new MemoryStore({ now: () => Date.now(), sleep, fate: () => fate })
	})

	afterEach(() => vi.useRealTimers())

	async function done(work: Promise<void>): Promise<void> {
		await vi.advanceTimersByTimeAsync(2_000)
		await work
	}

	it('writes nothing where no request is quarantined, also where some are suspect', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 2)
		await done(box.kept.save())
		expect(store.calls.get('write') ?? 0).toBe(0)
	})

	it('tells a process that starts later', async () => {
		const before = new Box(store, 'a')
		before.crash('1', 3)
		await done(before.kept.save())
		const after = new Box(store, 'a')
		await done(after.meet())
		expect(after.stageOf('1')).toBe('quarantined')
		expect(store.calls.get('write')).toBe(1)
	})

	it('keeps what two boxes write at the same time', async () => {
		const [a, b] = [new Box(store, 'a'), new Box(store, 'b')]
		a.crash('1', 3)
		b.crash('2', 3)
		await done(Promise.all([a.kept.save(), b.kept.save()]).then(() => undefined))
		const later = new Box(store, 'c')
		await done(later.meet())
		expect([later.stageOf('1'), later.stageOf('2')]).toEqual(['quarantined', 'quarantined'])
	})

	it('writes later what could not be written, and tells of a request that was cleared', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 3)
		fate = 'refused'
		await done(box.kept.save())
		expect(box.logged.map((event) => event.name)).toEqual(['quarantine-not-stored'])
		fate = 'served'
		await done(box.meet())
		box.quarantine.clear(identity('1').fingerprint, Date.now())
		await done(box.kept.save())
		const later = new Box(store, 'b')
		await done(later.meet())
		expect(later.stageOf('1')).toBe('free')
	})

	it('refuses a record of another writer, keeps what it knows and replaces it', async () => {
		const box = new Box(store, 'a')
		box.crash('1', 3)
		store.put(KEY, '{"writtenAt":"now"}')
		await done(box.meet())
		expect(box.logged.map((event) => event.name)).toEqual(['quarantine-unreadable'])
		const later = new Box(store, 'b')
		await done(later.meet())
		expect(later.stageOf('1')).toBe('quarantined')
	})

	it('is written again where the store came back without it', async () => {
		const box = new Box(store, 'a')
		const copies = [store.copy()]
		box.crash('1', 3)
		await done(box.meet())
		copies.push(store.copy())
		box.crash('2', 3)
		await done(box.meet())
		for (const copy of copies) {
			store.restore(copy)
			await vi.advanceTimersByTimeAsync(1_000)
			await done(box.meet())
			await done(box.meet())
			const later = new Box(store, 'b')
			await done(later.meet())
			expect([later.stageOf('1'), later.stageOf('2')]).toEqual(['quarantined', 'quarantined'])
		}
	})
})
