import {
	RequestQuarantine,
	brandId,
	type RequestFingerprint,
	type TargetIncarnation,
} from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { DatagramHandler, PeerDatagrams } from './PeerDatagrams.js'
import { QuarantineSharing } from './QuarantineSharing.js'

const BOX_COUNT = 6
const REQUEST = { fingerprint: brandId<RequestFingerprint>('f'.repeat(32)), hint: 1 }

/** Boxes that exchange records in virtual time; some may be partitioned. */
class Fleet {
	datagramCount = 0
	readonly partitioned = new Set<number>()
	readonly quarantines = Array.from({ length: BOX_COUNT }, () => new RequestQuarantine())
	private readonly handlers: DatagramHandler[] = []
	private readonly sharings: readonly QuarantineSharing[]

	constructor() {
		this.sharings = this.quarantines.map((quarantine, box) => this.makeSharing(quarantine, box))
		for (const sharing of this.sharings) sharing.start()
	}

	stop(): void {
		for (const sharing of this.sharings) sharing.stop()
	}

	/** Records at one box that a target crashed while it ran the request. */
	crash(box: number, incarnation: string): void {
		const now = Date.now()
		const run = {
			incarnation: brandId<TargetIncarnation>(incarnation),
			startedAt: now - 50,
			endedAt: now,
		}
		const record = this.quarantines[box]?.recordCrash(REQUEST, run, now)
		if (record) this.sharings[box]?.share(record)
	}

	clear(box: number): void {
		const record = this.quarantines[box]?.clear(REQUEST.fingerprint, Date.now())
		if (record) this.sharings[box]?.share(record)
	}

	get stages(): string[] {
		return this.quarantines.map((quarantine) => quarantine.stageOf(REQUEST.fingerprint))
	}

	private makeSharing(quarantine: RequestQuarantine, ownBox: number): QuarantineSharing {
		const datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'> = {
			onMessage: (handler) => (this.handlers[ownBox] = handler),
			send: (bytes, peer) => {
				this.datagramCount++
				if (this.partitioned.has(ownBox) || this.partitioned.has(Number(peer))) return
				setTimeout(() => this.handlers[Number(peer)]?.(bytes), 1)
			},
		}
		let turn = ownBox
		return new QuarantineSharing({
			quarantine,
			datagrams: datagrams as PeerDatagrams,
			peers: () =>
				Array.from({ length: BOX_COUNT }, (_, box) => `${box}`).filter((box) => +box !== ownBox),
			onRecordsReceived: () => undefined,
			now: () => Date.now(),
			random: () => ((turn++ * 7) % 10) / 10,
		})
	}
}

describe('QuarantineSharing', () => {
	let fleet: Fleet

	beforeEach(() => {
		vi.useFakeTimers()
		fleet = new Fleet()
	})

	afterEach(() => {
		fleet.stop()
		vi.useRealTimers()
	})

	async function crashThreeTargets(): Promise<void> {
		for (const box of [0, 1, 2]) {
			fleet.crash(box, `t-${box}`)
			await vi.advanceTimersByTimeAsync(100)
		}
	}

	it('combines at all boxes the crashes that different boxes detected', async () => {
		await crashThreeTargets()
		expect(fleet.stages).toEqual(Array.from({ length: BOX_COUNT }, () => 'quarantined'))
	})

	it('sends nothing without crashes, and does not gossip requests that are only suspect', async () => {
		await vi.advanceTimersByTimeAsync(60_000)
		expect(fleet.datagramCount).toBe(0)
		fleet.crash(0, 't-0')
		await vi.advanceTimersByTimeAsync(60_000)
		expect(fleet.datagramCount).toBe(BOX_COUNT - 1)
	})

	it('updates a partitioned box within seconds after it returns, and stops gossiping after two minutes', async () => {
		fleet.partitioned.add(5)
		await crashThreeTargets()
		expect(fleet.stages[5]).toBe('free')
		fleet.partitioned.clear()
		await vi.advanceTimersByTimeAsync(2_000)
		expect(fleet.stages[5]).toBe('quarantined')
		await vi.advanceTimersByTimeAsync(120_000)
		const { datagramCount } = fleet
		await vi.advanceTimersByTimeAsync(60_000)
		expect(fleet.datagramCount).toBe(datagramCount)
	})

	it('tells a box that a request was cleared while the box was partitioned', async () => {
		await crashThreeTargets()
		fleet.partitioned.add(5)
		fleet.clear(0)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(fleet.stages[5]).toBe('quarantined')
		fleet.partitioned.clear()
		await vi.advanceTimersByTimeAsync(2_000)
		expect(fleet.stages).toEqual(Array.from({ length: BOX_COUNT }, () => 'free'))
	})
})
