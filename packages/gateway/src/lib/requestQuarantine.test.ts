/**
 * What was seen: a request ended one target after the other, eight and ten of them, for as long as its caller came back.
 * How it came about: each try reached another box, or the same one as a new request, and was sent to a target that was
 * up again; all other requests at that target broke off with it.
 * Cause: what a request did to its targets was filed under the target and under the try, and forgotten with both.
 * Proof: lines of broken answers carry the content of the request; all ends of targets in a row had one in common, sent
 * by four boxes, some of which had seen an earlier end themselves.
 */
import { CrashingTarget, MemoryStore } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import { TEST_DIALECT, TestBox, trafficConfigOf, targetEntryOf } from './testBox.js'

const FATAL = 'fatal'
const BOXES = 4
const TARGETS = 12
/** Runs of a request that prove that it ends its targets. */
const PROVED = 3
/** Time after the third end from which boxes in touch must know of it, in ms. */
const CONTACT_MS = 3_000
/** Pause between two tries of the caller, in ms. */
const RETRY_MS = 150
/** For how long the caller comes back, in ms: the third end, the time in touch, and ten tries more. */
const DAY_MS = 6_000

describe('a request that ends its targets', () => {
	let fleet: CrashFleet
	afterEach(() => fleet.stop())

	const routes = ['/once/', '/again/', '/resume/']
	it.each(routes)('is refused by all boxes after three of them, on %s', async (route) => {
		fleet = new CrashFleet()
		await fleet.start()
		const others = fleet.askOthers(route)
		await fleet.askFatal(route)
		const served = await others
		expect(fleet.ends.length).toBeGreaterThanOrEqual(PROVED)
		// One that another box has already sent when the third target ends.
		expect(fleet.ends.length).toBeLessThanOrEqual(PROVED + BOXES)
		expect(fleet.endsInTouch).toBe(0)
		expect(served.lateFailures).toBe(0)
	})

	it('is still refused when all boxes have started anew', async () => {
		fleet = new CrashFleet()
		await fleet.start()
		await fleet.askFatal('/once/', 2_000)
		const before = fleet.ends.length
		await fleet.restartBoxes()
		await fleet.askFatal('/once/', 2_000)
		expect(before).toBeGreaterThanOrEqual(PROVED)
		expect(fleet.ends.length).toBe(before)
	})

	it('runs again at all boxes once an operator released it', async () => {
		fleet = new CrashFleet()
		await fleet.start()
		await fleet.askFatal('/once/', 2_000)
		const [fingerprint = ''] = fleet.quarantined
		expect(fleet.release('0'.repeat(32))).toBe(false)
		expect(fleet.release(fingerprint)).toBe(true)
		await sleep(RETRY_MS)
		expect(fleet.quarantined).toEqual([])
	})
})

/** Boxes over one store, and targets that one request ends. */
class CrashFleet {
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly CrashingTarget[] = []

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		this.targets = Array.from({ length: TARGETS }, (_, i) => this.makeTarget(`t${i}`))
		await Promise.all(this.targets.map((target) => target.start()))
		await this.startBoxes()
	}

	/** All boxes end at once and start anew: what they had in memory is gone. */
	async restartBoxes(): Promise<void> {
		await Promise.all(this.boxes.map((box) => box.stop()))
		await this.startBoxes()
	}

	private async startBoxes(): Promise<void> {
		const ports = await Promise.all(Array.from({ length: BOXES }, freePort))
		this.boxes = ports.map((port, i) => new TestBox(`box-${i}`, this.store, port))
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	/** Requests that any box holds back. */
	get quarantined(): string[] {
		return this.boxes.flatMap((box) =>
			box.gateway.status().quarantined.map((request) => request.fingerprint),
		)
	}

	/** Releases a request at one box. */
	release(fingerprint: string): boolean {
		return this.boxes[0]?.gateway.releaseQuarantined(fingerprint) ?? false
	}

	/** Times at which targets ended, in order. */
	get ends(): number[] {
		return this.targets.flatMap((target) => target.endedAt).sort((a, b) => a - b)
	}

	/** Ends of targets at a time at which all boxes had to know. */
	get endsInTouch(): number {
		const proved = this.ends[PROVED - 1] ?? Infinity
		return this.ends.filter((at) => at > proved + CONTACT_MS).length
	}

	/** One caller that comes back to any box, whatever the answer. */
	async askFatal(route: string, forMs = DAY_MS): Promise<void> {
		const until = performance.now() + forMs
		for (let i = 0; performance.now() < until; i++) {
			void this.boxes[i % BOXES]?.sendRequest(`${route}x`, { id: `fatal-${i}`, body: FATAL })
			await sleep(RETRY_MS)
		}
	}

	/** Other callers beside it; how many were not served although all boxes had to know. */
	async askOthers(route: string): Promise<{ readonly lateFailures: number }> {
		const until = performance.now() + DAY_MS
		let lateFailures = 0
		for (let i = 0; performance.now() < until; i++) {
			const box = this.boxes[(i * 3) % BOXES]
			const at = performance.now()
			void box
				?.sendRequest(`${route}other`, { id: `other-${i}`, body: `body ${i}` })
				.then((answer) => {
					const isLate = at > (this.ends[PROVED - 1] ?? Infinity) + CONTACT_MS
					if (isLate && answer.status !== 200) lateFailures++
				})
			await sleep(RETRY_MS / 3)
		}
		await sleep(RETRY_MS)
		return { lateFailures }
	}

	private makeTarget(name: string): CrashingTarget {
		return new CrashingTarget({
			name,
			isFatal: (body) => body === FATAL,
			crashAfterMs: 60,
			downMs: 1_500,
			workMs: 20,
			headers: TEST_DIALECT.headers,
			onStarted: (address, bornAt) =>
				void this.store.put(
					`targets/${name}`,
					JSON.stringify({ ...targetEntryOf(name, address), bornAt }),
				),
		})
	}
}
