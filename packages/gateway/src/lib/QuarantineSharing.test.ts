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

/** Boxes that tell each other, in virtual time; some may be cut off. */
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

	/** A target ends under the request; a box sees it. */
	crash(box: number, life: string): void {
		const now = Date.now()
		const run = { incarnation: brandId<TargetIncarnation>(life), startedAt: now - 50, endedAt: now }
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

	private makeSharing(quarantine: RequestQuarantine, self: number): QuarantineSharing {
		const datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'> = {
			onMessage: (handler) => (this.handlers[self] = handler),
			send: (bytes, peer) => {
				this.datagramCount++
				if (this.partitioned.has(self) || this.partitioned.has(Number(peer))) return
				setTimeout(() => this.handlers[Number(peer)]?.(bytes), 1)
			},
		}
		let turn = self
		return new QuarantineSharing({
			quarantine,
			datagrams: datagrams as PeerDatagrams,
			peers: () =>
				Array.from({ length: BOX_COUNT }, (_, box) => `${box}`).filter((box) => +box !== self),
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

	async function crashThrice(): Promise<void> {
		for (const box of [0, 1, 2]) {
			fleet.crash(box, `t-${box}`)
			await vi.advanceTimersByTimeAsync(100)
		}
	}

	it('tells all boxes at once what each of them saw a part of', async () => {
		await crashThrice()
		expect(fleet.stages).toEqual(Array.from({ length: BOX_COUNT }, () => 'quarantined'))
	})

	it('sends nothing where nothing ended, and no reminders of what is only suspect', async () => {
		await vi.advanceTimersByTimeAsync(60_000)
		expect(fleet.datagramCount).toBe(0)
		fleet.crash(0, 't-0')
		await vi.advanceTimersByTimeAsync(60_000)
		expect(fleet.datagramCount).toBe(BOX_COUNT - 1)
	})

	it('reminds a box that was cut off within seconds, and no longer than two minutes', async () => {
		fleet.partitioned.add(5)
		await crashThrice()
		expect(fleet.stages[5]).toBe('free')
		fleet.partitioned.clear()
		await vi.advanceTimersByTimeAsync(2_000)
		expect(fleet.stages[5]).toBe('quarantined')
		await vi.advanceTimersByTimeAsync(120_000)
		const { datagramCount: sent } = fleet
		await vi.advanceTimersByTimeAsync(60_000)
		expect(fleet.datagramCount).toBe(sent)
	})

	it('lets a box know that a request was cleared while it was cut off', async () => {
		await crashThrice()
		fleet.partitioned.add(5)
		fleet.clear(0)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(fleet.stages[5]).toBe('quarantined')
		fleet.partitioned.clear()
		await vi.advanceTimersByTimeAsync(2_000)
		expect(fleet.stages).toEqual(Array.from({ length: BOX_COUNT }, () => 'free'))
	})
})
