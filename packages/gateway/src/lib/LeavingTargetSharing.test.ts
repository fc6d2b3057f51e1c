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
/** Time between the notice that a target is leaving and its termination, in ms. */
const SPOT_NOTICE_MS = 2_000
const REQUEST_DURATION_MS = 1_000
const RESPONSE_HEADER_DELAY_MS = 40
/** Request rate of one target in a fleet of 500 boxes with 1,500 targets. */
const REQUESTS_PER_SECOND = 4

/** Boxes without a store, so that the target list keeps showing the target as ready. */
class Fleet {
	datagramCount = 0
	/** True if all datagrams are lost. */
	isPartitioned = false
	readonly registries: readonly TargetRegistry[]
	readonly logEvents: LogEvent[] = []
	private readonly handlers: DatagramHandler[] = []
	private readonly sharings: readonly LeavingTargetSharing[]

	constructor(boxes: number) {
		this.registries = Array.from({ length: boxes }, () => new TargetRegistry())
		this.replaceEntries([READY])
		this.sharings = this.registries.map((registry, ownBox) => this.makeSharing(registry, ownBox))
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	replaceEntries(entries: readonly TargetEntry[]): void {
		for (const registry of this.registries) registry.replace(entries, Date.now())
	}

	/** Simulates a response to a box that says that the target is leaving. */
	noteLeaving(box: number): void {
		if (this.registries[box]?.noteLeaving(READY, Date.now())) this.sharings[box]?.share(READY)
	}

	isTargetAvailable(box: number): boolean {
		const registry = this.registries[box]
		return registry !== undefined && registry.isAvailable(incarnationOf(READY), READY.name)
	}

	get availableBoxCount(): number {
		return this.registries.filter((_, box) => this.isTargetAvailable(box)).length
	}

	private makeSharing(registry: TargetRegistry, ownBox: number): LeavingTargetSharing {
		const datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'> = {
			onMessage: (handler) => (this.handlers[ownBox] = handler),
			send: (bytes, peer) => {
				this.datagramCount++
				if (!this.isPartitioned) setTimeout(() => this.handlers[Number(peer)]?.(bytes), 1)
			},
		}
		return new LeavingTargetSharing({
			registry,
			datagrams: datagrams as PeerDatagrams,
			peers: () => this.registries.flatMap((_, box) => (box === ownBox ? [] : [String(box)])),
			onTargetLeaving: () => undefined,
			metrics: new Metrics(),
			now: () => Date.now(),
			log: (event) => this.logEvents.push(event),
		})
	}
}

describe('LeavingTargetSharing', () => {
	let fleet: Fleet
	beforeEach(() => vi.useFakeTimers())
	afterEach(() => {
		fleet.stop()
		vi.useRealTimers()
	})

	it('tells all boxes about a leaving target that is listed as ready', () => {
		fleet = new Fleet(8)
		fleet.noteLeaving(3)
		vi.advanceTimersByTime(200)
		expect(fleet.availableBoxCount).toBe(0)
		expect(fleet.datagramCount).toBe(7)
		expect(fleet.logEvents.map(({ name }) => name)).toEqual(Array(7).fill('target-heard-leaving'))
		vi.advanceTimersByTime(60_000)
		expect(fleet.datagramCount).toBe(7)
	})

	it('sends nothing if the list shows the target as leaving or removed soon after', () => {
		for (const entries of [[{ ...READY, leaving: true, revision: { era: 1, number: 2 } }], []]) {
			fleet = new Fleet(8)
			fleet.noteLeaving(3)
			vi.advanceTimersByTime(50)
			fleet.replaceEntries(entries)
			vi.advanceTimersByTime(1_000)
			expect(fleet.datagramCount).toBe(0)
		}
	})

	it('does not affect a later incarnation', () => {
		fleet = new Fleet(2)
		fleet.noteLeaving(0)
		const later = { ...READY, bornAt: STARTED_AT + 5_000, revision: { era: 1, number: 2 } }
		fleet.registries[1]?.replace([later], Date.now())
		vi.advanceTimersByTime(1_000)
		expect(fleet.registries[1]?.isAvailable(incarnationOf(later), later.name)).toBe(true)
	})

	it('lets an unreachable box learn from the target that it is leaving', () => {
		fleet = new Fleet(2)
		fleet.isPartitioned = true
		fleet.noteLeaving(0)
		vi.advanceTimersByTime(1_000)
		expect(fleet.isTargetAvailable(1)).toBe(true)
		fleet.noteLeaving(1)
		expect(fleet.isTargetAvailable(1)).toBe(false)
	})

	// Requests in progress at termination are interrupted. Without sharing, some boxes learn too late that the target
	// is leaving.
	it.each([7, 75, 499])(
		'leaves no request in progress at a target that terminates 2 s after its notice, with %i boxes',
		(boxes) => {
			const interruptedRequests = (isPartitioned: boolean): number => {
				fleet = new Fleet(boxes)
				fleet.isPartitioned = isPartitioned
				return simulateSpotTermination(fleet)
			}
			expect(interruptedRequests(true)).toBeGreaterThan(0)
			expect(interruptedRequests(false)).toBe(0)
		},
	)
})

/** Sends requests to all boxes in turn. Returns how many are in progress at the target when it terminates. */
function simulateSpotTermination(fleet: Fleet): number {
	const intervalMs = 1_000 / REQUESTS_PER_SECOND
	let inProgress = 0
	for (let turn = 0; turn * intervalMs < SPOT_NOTICE_MS; turn++) {
		const box = turn % fleet.registries.length
		if (fleet.isTargetAvailable(box)) {
			if (turn * intervalMs + REQUEST_DURATION_MS > SPOT_NOTICE_MS) inProgress++
			setTimeout(() => fleet.noteLeaving(box), RESPONSE_HEADER_DELAY_MS)
		}
		vi.advanceTimersByTime(intervalMs)
	}
	return inProgress
}

describe('leavingTargetCodec', () => {
	it('decodes what it encoded', () => {
		const name = brandId<TargetEntry['name']>('t')
		const targets = [
			{ name, bornAt: STARTED_AT },
			{ name, bornAt: undefined },
		]
		expect(decodeLeavingTargets(Buffer.from(encodeLeavingTargets(targets)))).toEqual(targets)
	})

	it('skips malformed rows and rejects other messages', () => {
		const text = '{"leaving":[["a",1],["b"],["",1],[7,1],["c",1.5],["d","x"],null,"e",["f",null]]}'
		const names = decodeLeavingTargets(Buffer.from(text))?.map(({ name }) => name)
		expect(names).toEqual(['a', 'f'])
		for (const other of ['', '{"leaving":', '{"leaving":7}', '{"box":"b"}', 'null'])
			expect(decodeLeavingTargets(Buffer.from(other))).toBeUndefined()
	})

	it('never throws', () => {
		fc.assert(
			fc.property(fc.uint8Array(), (bytes) => {
				decodeLeavingTargets(Buffer.concat([Buffer.from('{"leaving":'), bytes]))
				return true
			}),
			{ seed: 46, numRuns: 2_000 },
		)
	})
})
