import { MemoryStore } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, type CallerResponse } from '../testBox.js'
import { seededRandom } from '../testFleet.js'
import { trafficConfigOf } from '../testTrafficConfig.js'
import { isWholeStream, TestStreamTargets } from './testStreamTargets.js'

// Guards against answers that end although their target, their caller and their time allow them to go on.
// More seeds: SEEDS=50 npx vitest run packages/gateway/src/lib/attempts/randomSilences

const SEED_COUNT = Number(process.env.SEEDS ?? 2)
const BOX_COUNT = 3
const TARGETS = ['a', 'b', 'c', 'd', 'e']
const LENGTH_MS = 5_000
const REQUEST_INTERVAL_MS = 40
const FAULT_INTERVAL_MS = 350
/** Time for which two targets may run a request, in ms, besides delays of the process. */
const MAX_OVERLAP_MS = 400
const MAX_BLOCKED_MS = 1_300

function block(ms: number): void {
	const until = performance.now() + ms
	while (performance.now() < until);
}

/** Boxes with a common store and targets, and random faults. */
class RandomFaults {
	readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	readonly host = new TestBox('targets', this.store)
	readonly targets = new TestStreamTargets(this.host)
	boxes: readonly TestBox[] = []
	/** Targets that never go on. */
	readonly hung = new Set<string>()
	private version = 1
	/** Total time for which the process was blocked, in ms. */
	blockedMs = 0

	constructor(private readonly random: () => number) {}

	async start(): Promise<void> {
		const ports = await Promise.all(Array.from({ length: BOX_COUNT }, freePort))
		const slack = Math.floor(this.random() * 12)
		const retryLimits = { ratio: 0.1 * this.random(), slack, windowMs: 10_000 }
		this.boxes = ports.map((port, i) => new TestBox(`box-${i}`, this.store, port, { retryLimits }))
		this.configure()
		await this.targets.add(...TARGETS)
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	async stop(): Promise<void> {
		await Promise.all([...this.boxes, this.host].map((box) => box.stop()))
	}

	/** Brings about one fault, or ends some. */
	next(): void {
		const some = TARGETS.filter((name) => this.random() < 0.5 && !this.hung.has(name))
		const ms = 300 + Math.floor(this.random() * 1_700)
		const faults = [
			() => this.targets.silence(ms, ...TARGETS.filter((name) => !this.hung.has(name))),
			() => this.targets.silence(ms, ...some),
			() => this.targets.reject(...some),
			() => this.targets.accept(...TARGETS),
			() => this.block(this.random() * MAX_BLOCKED_MS),
			() => this.configure(),
			() => this.setLeaving(some, true),
			() => this.setLeaving(TARGETS, false),
			() => this.hang(),
		]
		faults[Math.floor(this.random() * faults.length)]?.()
	}

	private configure(): void {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(this.version++)))
	}

	private setLeaving(names: readonly string[], leaving: boolean): void {
		for (const name of names) {
			const key = `targets/${name}`
			const entry = JSON.parse(this.store.getText(key) ?? '{}') as object
			this.store.put(key, JSON.stringify({ ...entry, leaving }))
		}
	}

	/** One target stops for good, at most. */
	private hang(): void {
		const name = TARGETS[Math.floor(this.random() * TARGETS.length)]
		if (this.hung.size > 0 || name === undefined) return
		this.hung.add(name)
		this.targets.silence(60_000, name)
	}

	private block(ms: number): void {
		this.blockedMs += ms
		// After `setImmediate`, due timers run before sockets are read.
		setImmediate(() => block(ms))
	}
}

describe('answers during random silences', { timeout: 60_000 }, () => {
	let faults: RandomFaults
	afterEach(() => faults.stop())

	it.each(Array.from({ length: SEED_COUNT }, (_, i) => 1 + 2 * i))(
		'are whole: seed %i',
		async (seed) => {
			const random = seededRandom(seed)
			faults = new RandomFaults(random)
			await faults.start()
			const responses: Promise<CallerResponse>[] = []
			let nextFaultAt = 400
			for (let at = 0; at < LENGTH_MS; at += REQUEST_INTERVAL_MS) {
				const id = `r${responses.length}`
				const box = faults.boxes[responses.length % BOX_COUNT]
				if (box)
					responses.push(box.sendRequest('/resume/x', { id, headers: { 'deadline-ms': '9000' } }))
				if (at >= nextFaultAt) {
					faults.next()
					nextFaultAt += FAULT_INTERVAL_MS
				}
				await sleep(REQUEST_INTERVAL_MS)
			}
			const received = await Promise.all(responses)
			const broken = received.flatMap((response, i) => {
				if (response.status !== 200 || isWholeStream(response)) return []
				const runs = faults.targets.runsOf(`r${i}`)
				return runs.some(({ target }) => faults.hung.has(target)) ? [] : [`r${i}`]
			})
			expect(broken).toEqual([])
			expect(received.filter(isWholeStream).length).toBeGreaterThan(0)
			expect(faults.targets.longestOverlapMs).toBeLessThan(MAX_OVERLAP_MS + faults.blockedMs)
			expect(
				Math.max(...received.map((_, i) => faults.targets.runsOf(`r${i}`).length)),
			).toBeLessThan(3)
		},
	)
})
