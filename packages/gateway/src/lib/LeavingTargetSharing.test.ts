import {
	TargetRegistry,
	brandId,
	incarnationOf,
	type LogEvent,
	type TargetEntry,
} from '@stallwing/core'
import { Metrics } from '@stallwing/telemetry'
import * as fc from 'fast-check'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { LeavingTargetSharing } from './LeavingTargetSharing.js'
import { decodeLeavingTargets, encodeLeavingTargets } from './leavingTargetCodec.js'
import type { DatagramHandler, PeerDatagrams } from './PeerDatagrams.js'
import { targetEntryOf } from './testBox.js'

const STARTED_AT = 1_800_000_000_000
const READY: TargetEntry = { ...targetEntryOf('t', 'unused:1'), bornAt: STARTED_AT }
/** Time from the word of a target to its end where nobody waits for the store, in ms. */
const SPOT_NOTICE_MS = 2_000
/** Time that a request runs, and from its arrival to the head of its answer, in ms. */
const REQUEST_DURATION_MS = 1_000
const RESPONSE_HEADER_DELAY_MS = 40
/** Requests a second for one target, as at a fleet of 500 boxes with 1,500 targets. */
const REQUESTS_PER_SECOND = 4

/** Boxes of which the store is away: the list goes on calling the target ready. */
class Fleet {
	datagramCount = 0
	/** Datagrams are lost. */
	isPartitioned = false
	readonly registries: readonly TargetRegistry[]
	readonly logEvents: LogEvent[] = []
	private readonly handlers: DatagramHandler[] = []
	private readonly sharings: readonly LeavingTargetSharing[]

	constructor(boxes: number) {
		this.registries = Array.from({ length: boxes }, () => new TargetRegistry())
		this.replaceEntries([READY])
		this.sharings = this.registries.map((board, self) => this.makeSharing(board, self))
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	replaceEntries(entries: readonly TargetEntry[]): void {
		for (const board of this.registries) board.replace(entries, Date.now())
	}

	/** A box reads in an answer that the target leaves. */
	noteLeaving(box: number): void {
		if (this.registries[box]?.noteLeaving(READY, Date.now())) this.sharings[box]?.share(READY)
	}

	isTargetAvailable(box: number): boolean {
		const board = this.registries[box]
		return board !== undefined && board.isAvailable(incarnationOf(READY), READY.name)
	}

	get availableBoxCount(): number {
		return this.registries.filter((_, box) => this.isTargetAvailable(box)).length
	}

	private makeSharing(board: TargetRegistry, self: number): LeavingTargetSharing {
		const datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'> = {
			onMessage: (handler) => (this.handlers[self] = handler),
			send: (bytes, peer) => {
				this.datagramCount++
				if (!this.isPartitioned) setTimeout(() => this.handlers[Number(peer)]?.(bytes), 1)
			},
		}
		return new LeavingTargetSharing({
			registry: board,
			datagrams: datagrams as PeerDatagrams,
			peers: () => this.registries.flatMap((_, box) => (box === self ? [] : [String(box)])),
			onTargetLeaving: () => undefined,
			metrics: new Metrics(),
			now: () => Date.now(),
			log: (event) => this.logEvents.push(event),
		})
	}
}

describe('LeavingSharing', () => {
	let fleet: Fleet
	beforeEach(() => vi.useFakeTimers())
	afterEach(() => {
		fleet.stop()
		vi.useRealTimers()
	})

	it('tells all boxes of a target that leaves while the list calls it ready', () => {
		fleet = new Fleet(8)
		fleet.noteLeaving(3)
		vi.advanceTimersByTime(200)
		expect(fleet.availableBoxCount).toBe(0)
		expect(fleet.datagramCount).toBe(7)
		expect(fleet.logEvents.map(({ name }) => name)).toEqual(Array(7).fill('target-heard-leaving'))
		vi.advanceTimersByTime(60_000)
		expect(fleet.datagramCount).toBe(7)
	})

	it('tells nothing where the list brings the same word, or the end, soon after', () => {
		for (const entries of [[{ ...READY, leaving: true, revision: { era: 1, number: 2 } }], []]) {
			fleet = new Fleet(8)
			fleet.noteLeaving(3)
			vi.advanceTimersByTime(50)
			fleet.replaceEntries(entries)
			vi.advanceTimersByTime(1_000)
			expect(fleet.datagramCount).toBe(0)
		}
	})

	it('says nothing of a later life', () => {
		fleet = new Fleet(2)
		fleet.noteLeaving(0)
		const later = { ...READY, bornAt: STARTED_AT + 5_000, revision: { era: 1, number: 2 } }
		fleet.registries[1]?.replace([later], Date.now())
		vi.advanceTimersByTime(1_000)
		expect(fleet.registries[1]?.isAvailable(incarnationOf(later), later.name)).toBe(true)
	})

	it('leaves a box that was not reached to hear it from the target', () => {
		fleet = new Fleet(2)
		fleet.isPartitioned = true
		fleet.noteLeaving(0)
		vi.advanceTimersByTime(1_000)
		expect(fleet.isTargetAvailable(1)).toBe(true)
		fleet.noteLeaving(1)
		expect(fleet.isTargetAvailable(1)).toBe(false)
	})

	// Requests under way when the target ends break off. What each box hears by itself comes too late for some.
	it.each([7, 75, 499])(
		'spares requests a target that ends 2 s after its word, with %i boxes',
		(boxes) => {
			const brokenOff = (isApart: boolean): number => {
				fleet = new Fleet(boxes)
				fleet.isPartitioned = isApart
				return simulateSpotTermination(fleet)
			}
			expect(brokenOff(true)).toBeGreaterThan(0)
			expect(brokenOff(false)).toBe(0)
		},
	)
})

/** Requests come at all boxes in turn; returns how many are under way at the target when it ends. */
function simulateSpotTermination(fleet: Fleet): number {
	const pauseMs = 1_000 / REQUESTS_PER_SECOND
	let underWay = 0
	for (let turn = 0; turn * pauseMs < SPOT_NOTICE_MS; turn++) {
		const box = turn % fleet.registries.length
		if (fleet.isTargetAvailable(box)) {
			if (turn * pauseMs + REQUEST_DURATION_MS > SPOT_NOTICE_MS) underWay++
			setTimeout(() => fleet.noteLeaving(box), RESPONSE_HEADER_DELAY_MS)
		}
		vi.advanceTimersByTime(pauseMs)
	}
	return underWay
}

describe('words about targets that leave', () => {
	it('come back as they were sent', () => {
		const name = brandId<TargetEntry['name']>('t')
		const targets = [
			{ name, bornAt: STARTED_AT },
			{ name, bornAt: undefined },
		]
		expect(decodeLeavingTargets(Buffer.from(encodeLeavingTargets(targets)))).toEqual(targets)
	})

	it('leave out rows that can not be read, and are none where the bytes are something else', () => {
		const text = '{"leaving":[["a",1],["b"],["",1],[7,1],["c",1.5],["d","x"],null,"e",["f",null]]}'
		const names = decodeLeavingTargets(Buffer.from(text))?.map(({ name }) => name)
		expect(names).toEqual(['a', 'f'])
		for (const other of ['', '{"leaving":', '{"leaving":7}', '{"box":"b"}', 'null'])
			expect(decodeLeavingTargets(Buffer.from(other))).toBeUndefined()
	})

	it('never throw, whatever the bytes', () => {
		fc.assert(
			fc.property(fc.uint8Array(), (bytes) => {
				decodeLeavingTargets(Buffer.concat([Buffer.from('{"leaving":'), bytes]))
				return true
			}),
			{ seed: 46, numRuns: 2_000 },
		)
	})
})
