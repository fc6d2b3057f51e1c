/** Guards against boxes that miss a held or cleared part, and against too many messages about a common part. */
import { PartQuarantine, brandId, type PromptPartId, type TargetIncarnation } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { DatagramHandler, PeerDatagrams } from '../PeerDatagrams.js'
import { seededRandom } from '../testFleet.js'
import { PartSharing } from './PartSharing.js'

const BAD = brandId<PromptPartId>('bad')
const COMMON = brandId<PromptPartId>('common')
const LATENCY_MS = 2

describe('PartSharing', () => {
	let network: TestNetwork
	beforeEach(() => {
		vi.useFakeTimers()
	})
	afterEach(() => {
		network.stop()
		vi.useRealTimers()
	})

	it.each([7, 60])('tells %i boxes of crashes that each of them saw only once', async (boxes) => {
		network = new TestNetwork(boxes)
		for (let i = 0; i < 3; i++) {
			network.boxes[i]?.crash(`t${i}`)
			await vi.advanceTimersByTimeAsync(200)
		}
		await vi.advanceTimersByTimeAsync(400)
		expect(network.boxes.filter(({ holdsBad }) => !holdsBad)).toEqual([])
	})

	it('tells all boxes of an answer at one of them', async () => {
		network = new TestNetwork(7)
		for (const target of ['t0', 't1', 't2']) {
			network.boxes[0]?.crash(target)
			await vi.advanceTimersByTimeAsync(200)
		}
		network.boxes[4]?.answer(BAD)
		await vi.advanceTimersByTimeAsync(100)
		expect(network.boxes.filter(({ holdsBad }) => holdsBad)).toEqual([])
	})

	it('sends few messages when all boxes see a crash and answer requests with a common part', async () => {
		const boxes = 60
		network = new TestNetwork(boxes)
		for (const box of network.boxes) box.answer(COMMON)
		for (const box of network.boxes) box.crash('t0')
		await vi.advanceTimersByTimeAsync(500)
		for (const box of network.boxes) box.answer(COMMON)
		await vi.advanceTimersByTimeAsync(1_000)
		expect(network.sent / boxes).toBeLessThan(boxes / 2)
	})

	it('tells a box that was cut off, within seconds', async () => {
		network = new TestNetwork(7)
		network.isCutOff = (index) => index === 6
		for (const target of ['t0', 't1', 't2']) {
			network.boxes[0]?.crash(target)
			await vi.advanceTimersByTimeAsync(200)
		}
		expect(network.boxes[6]?.holdsBad).toBe(false)
		network.isCutOff = () => false
		await vi.advanceTimersByTimeAsync(3_000)
		expect(network.boxes[6]?.holdsBad).toBe(true)
	})
})

class TestBox {
	readonly quarantine = new PartQuarantine()
	readonly sharing: PartSharing
	private readonly handlers: DatagramHandler[] = []

	constructor(network: TestNetwork, index: number, boxes: number, random: () => number) {
		const datagrams: Pick<PeerDatagrams, 'onMessage' | 'send'> = {
			onMessage: (handler) => this.handlers.push(handler),
			send: (bytes, peer) => network.send(index, Number(peer), bytes),
		}
		const peers = Array.from({ length: boxes }, (_, i) => String(i)).filter((_, i) => i !== index)
		this.sharing = new PartSharing({
			quarantine: this.quarantine,
			datagrams: datagrams as PeerDatagrams,
			peers: () => peers,
			onReceived: () => undefined,
			now: () => Date.now(),
			random,
		})
		this.sharing.start()
	}

	get holdsBad(): boolean {
		return this.quarantine.held.some(({ part }) => part === BAD)
	}

	crash(target: string): void {
		const incarnation = brandId<TargetIncarnation>(target)
		this.sharing.share(this.quarantine.recordCrash([COMMON, BAD], incarnation, Date.now()))
	}

	answer(part: PromptPartId): void {
		this.sharing.share(this.quarantine.recordAnswer([part], Date.now()))
	}

	receive(bytes: Buffer): void {
		for (const handler of this.handlers) handler(bytes)
	}
}

class TestNetwork {
	readonly boxes: readonly TestBox[]
	/** Datagrams sent by all boxes. */
	sent = 0
	isCutOff: (index: number) => boolean = () => false

	constructor(count: number) {
		const random = seededRandom(1)
		this.boxes = Array.from({ length: count }, (_, i) => new TestBox(this, i, count, random))
	}

	send(from: number, to: number, bytes: Buffer): void {
		this.sent++
		if (this.isCutOff(from) || this.isCutOff(to)) return
		setTimeout(() => this.boxes[to]?.receive(bytes), LATENCY_MS)
	}

	stop(): void {
		for (const box of this.boxes) box.sharing.stop()
	}
}
