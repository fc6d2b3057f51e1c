/** Guards against targets that crash because they have to reject more requests than they tolerate. */
import { BrittleTarget, MemoryStore } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import { seededRandom } from './testFleet.js'
import { TestBox, targetEntryOf } from './testBox.js'
import { TEST_DIALECT } from './testDialect.js'
import { trafficConfigOf } from './testTrafficConfig.js'

const BOX_COUNT = 4
const TARGET_COUNT = 8
const SLOTS = 4
const PROCESSING_MS = 200
/** What all targets can do in a second. */
const CAPACITY = (TARGET_COUNT * SLOTS * 1_000) / PROCESSING_MS
const DURATION_MS = 10_000
/** Time that boxes have to take the stated limit into account, in ms. */
const CONTACT_MS = 3_000
const ALLOWED_CRASHES = 2 + TARGET_COUNT / 10

describe('targets that tolerate few rejections', () => {
	let fleet: BrittleFleet
	afterEach(() => fleet.stop())

	it.each([1, 2])('stay up and busy at %i times their capacity', async (factor) => {
		fleet = new BrittleFleet()
		await fleet.start()
		const startedAt = performance.now()
		const served = await fleet.sendRequests(factor * CAPACITY)
		const late = fleet.crashTimes.filter((at) => at > startedAt + CONTACT_MS)
		expect(late.length).toBeLessThanOrEqual(ALLOWED_CRASHES)
		expect(served / ((DURATION_MS / 1_000) * CAPACITY)).toBeGreaterThan(0.5)
	})
})

/** Boxes with a common store, and targets that crash if they have to reject too many requests. */
class BrittleFleet {
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private readonly random = seededRandom(1)
	private boxes: readonly TestBox[] = []
	private targets: readonly BrittleTarget[] = []

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		this.targets = Array.from({ length: TARGET_COUNT }, (_, i) => this.makeTarget(`t${i}`))
		await Promise.all(this.targets.map((target) => target.start()))
		const ports = await Promise.all(Array.from({ length: BOX_COUNT }, freePort))
		this.boxes = ports.map(
			(port, i) => new TestBox(`box-${i}`, this.store, port, { random: seededRandom(i + 1) }),
		)
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	get crashTimes(): number[] {
		return this.targets.flatMap(({ crashTimes }) => crashTimes)
	}

	/** Sends requests to random boxes. Returns how many were served. */
	async sendRequests(perSecond: number): Promise<number> {
		const startedAt = performance.now()
		const results: Promise<boolean>[] = []
		for (;;) {
			const elapsedMs = performance.now() - startedAt
			if (elapsedMs > DURATION_MS) break
			while (results.length < (elapsedMs * perSecond) / 1_000)
				results.push(this.send(results.length))
			await sleep(2)
		}
		return (await Promise.all(results)).filter((isServed) => isServed).length
	}

	private async send(number: number): Promise<boolean> {
		const box = this.boxes[Math.floor(this.random() * BOX_COUNT)]
		const headers = { 'deadline-ms': '1000' }
		const response = await box?.sendRequest('/once/x', { id: `r${number}`, headers })
		return response?.status === 200
	}

	private makeTarget(name: string): BrittleTarget {
		return new BrittleTarget({
			name,
			slots: SLOTS,
			maxWaiting: SLOTS,
			processingMs: PROCESSING_MS,
			rejectionsPerSecond: 4,
			restartDelayMs: 3_000,
			headers: TEST_DIALECT.headers,
			onStarted: (address, bornAt) => {
				const entry = { ...targetEntryOf(name, address), slots: SLOTS, bornAt }
				this.store.put(`targets/${name}`, JSON.stringify(entry))
			},
		})
	}
}
