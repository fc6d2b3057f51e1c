import { fnv1a } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { seededRandom } from '../testFleet.js'
import { playOrderCaller, type CallerHabit, type ReachableBox } from './testOrderCaller.js'
import {
	describeOrder,
	findOrderFaults,
	type CallerStream,
	type OrderFault,
	type OrderRun,
} from './testOrderChecker.js'
import { TestOrderFleet } from './testOrderFleet.js'
import { streamLayoutOf } from './testOrderStream.js'
import type { RunPlan } from './testOrderTarget.js'

// Guards against streams with a piece twice or missing, or with pieces of runs or software versions that do not belong together.
// More seeds: FIRST_SEED=1 SEEDS=50 REPORT=1 npx vitest run packages/gateway/src/lib/streams/orderHunt

const FIRST_SEED = Number(process.env.FIRST_SEED ?? 5)
const SEED_COUNT = Number(process.env.SEEDS ?? 2)
/** Few boxes all hold the origins of all streams; many do not. */
const FEW_BOXES = 3
const MANY_BOXES = 6
const LENGTH_MS = 4_500
const STREAM_INTERVAL_MS = 20
const FAULT_INTERVAL_MS = 450
/** A target that sends nothing for longer is replaced. */
const SILENCE_LIMIT_MS = 1_000
const SOUGHT: ReadonlySet<OrderFault> = new Set<OrderFault>([
	'twice',
	'missing',
	'joined',
	'versions',
	'changed',
])
const HABITS: readonly CallerHabit[] = [
	'reads',
	'reads',
	'leaves',
	'overlaps',
	'takes up twice',
	'asks again',
]

const REFUSALS: readonly RunPlan['takeUp'][] = ['rejects', 'fails']
const ODD_TAKE_UPS: readonly RunPlan['takeUp'][] = [
	...REFUSALS,
	'repeats the last piece',
	'begins again',
]
/** Weights of the two services. */
const ROUTE_WEIGHTS = [
	[1, 0],
	[0, 1],
	[1, 1],
] as const
const MAX_SEED = 100_003
const TAKEN_UP_BY_CALLER = 'taken up by the caller'
const TAKEN_UP_BY_BOX = 'taken up by the box'

/** Often about as long as it takes until a replacement takes over, in ms. */
function drawSilenceMs(random: () => number): number {
	if (random() < 0.6) return SILENCE_LIMIT_MS - 20 + random() * 320
	return 300 + random() * 2_200
}

function drawIndex(count: number, random: () => number): number {
	return Math.floor(random() * count)
}

function pick<T>(items: readonly T[], random: () => number): T {
	const item = items[drawIndex(items.length, random)]
	if (item === undefined) throw new Error('nothing to pick from')
	return item
}

/** Draws what happens in one run of the hunt. */
class OrderHunt {
	readonly fleet: TestOrderFleet
	readonly streams: CallerStream[] = []
	private readonly pending: Promise<void>[] = []
	/** Number of runs by path. */
	private readonly runCounts = new Map<string, number>()
	private readonly versions: readonly string[]
	private readonly movesRoutes: boolean
	private readonly boxCount: number

	constructor(
		private readonly seed: number,
		private readonly random: () => number,
	) {
		this.versions = seed % 2 === 0 ? ['1', '1', '1', '2', '2', '2'] : ['1', '1', '1', '1']
		this.movesRoutes = seed % 3 === 0
		this.boxCount = seed % 5 < 3 ? FEW_BOXES : MANY_BOXES
		this.fleet = new TestOrderFleet(random, (run, path) => this.planRun(run, path), seed % 4 === 1)
	}

	async play(): Promise<void> {
		await this.fleet.start(this.boxCount, this.versions)
		let nextFaultMs = FAULT_INTERVAL_MS
		for (let ms = 0; ms < LENGTH_MS; ms += STREAM_INTERVAL_MS) {
			this.startStream(ms)
			if (ms >= nextFaultMs) {
				this.pending.push(this.nextFault())
				nextFaultMs += FAULT_INTERVAL_MS
			}
			await sleep(STREAM_INTERVAL_MS)
		}
		await Promise.all(this.pending)
	}

	private startStream(number: number): void {
		const isResumable = this.random() < 0.8
		const path = `/${isResumable ? 'resume' : 'stream'}/${this.seed}-${number}`
		const played = playOrderCaller({
			path,
			isResumable,
			habit: pick(HABITS, this.random),
			afterPieces: 1 + Math.floor(this.random() * streamLayoutOf(path).ids.length),
			readPauseMs: this.random() < 0.15 ? 300 + this.random() * 1_700 : 0,
			waitMs: this.random() * 300,
			nextBox: () => this.chooseBox(),
		})
		this.pending.push(played.then((streams) => void this.streams.push(...streams)))
	}

	private async chooseBox(): Promise<ReachableBox> {
		for (;;) {
			const boxes = [...this.fleet.boxes.values()]
			if (boxes.length > 0) return pick(boxes, this.random)
			await sleep(STREAM_INTERVAL_MS)
		}
	}

	/** Drawn for each run by itself, so that it does not depend on the order in which runs begin. */
	private planRun({ isTakenUpByCaller, lastEventId }: OrderRun, path: string): RunPlan {
		const runCount = this.runCounts.get(path) ?? 0
		this.runCounts.set(path, runCount + 1)
		const random = seededRandom(fnv1a(`${path} ${runCount}`) % MAX_SEED)
		const count = streamLayoutOf(path).ids.length
		const silences = new Map<number, number>()
		if (random() < 0.25) silences.set(drawIndex(count + 1, random), drawSilenceMs(random))
		// The last piece and the end.
		if (random() < 0.08) silences.set(count - drawIndex(2, random), drawSilenceMs(random))
		const index = drawIndex(count, random)
		const end = { index, isInside: random() < 0.6, isReset: random() < 0.5 }
		const isOdd = lastEventId !== undefined && random() < 0.15
		return {
			isChunked: random() < 0.6,
			firstDelayMs: random() < 0.2 ? random() * 400 : random() * 5,
			intervalMs: 2 + random() * 18,
			silences,
			break: random() < 0.25 ? end : undefined,
			batch: random() < 0.5 ? 1 : 1 + drawIndex(4, random),
			parts: random() < 0.6 ? 1 : 1 + drawIndex(6, random),
			isSentTwice: random() < 0.05,
			takeUp: isOdd ? pick(isTakenUpByCaller ? REFUSALS : ODD_TAKE_UPS, random) : 'goes on',
		}
	}

	/** Brings about one fault. */
	private nextFault(): Promise<void> {
		const { fleet, random } = this
		const targets = [...fleet.targets.values()]
		const target = pick(targets, random)
		const { service, version } = target.target.options
		const box = `box-${drawIndex(this.boxCount, random)}`
		const isLast = targets.filter((one) => one.target.options.service === service).length < 3
		const otherVersion = random() < 0.5 ? version : pick(['1', '2', '3'], random)
		const faults: readonly (() => Promise<void> | void)[] = [
			() => void (target.target.silentUntil = performance.now() + drawSilenceMs(random)),
			() => {
				for (const one of targets)
					if (random() < 0.5) one.target.silentUntil = performance.now() + drawSilenceMs(random)
			},
			() => fleet.killTarget(target, otherVersion),
			() => fleet.killTarget(target, isLast ? version : undefined),
			() => (isLast ? undefined : fleet.retireTarget(target)),
			() => fleet.addTarget(service, otherVersion),
			() => fleet.killBox(box),
			() => fleet.stopBox(box),
			() => fleet.cutBoxOff(box, 300 + random() * 2_000),
			() => this.reconfigure(),
		]
		return Promise.resolve(pick(faults, random)())
	}

	private reconfigure(): void {
		const weights = this.movesRoutes ? pick(ROUTE_WEIGHTS, this.random) : ROUTE_WEIGHTS[0]
		this.fleet.route(weights)
	}
}

/** What a run of the hunt covered: numbers of streams, and of events that boxes logged. */
function coverageOf({ fleet, streams }: OrderHunt): Readonly<Record<string, number>> {
	const counts: Record<string, number> = { streams: streams.length, runs: fleet.runs.length }
	const count = (what: string): void => void (counts[what] = (counts[what] ?? 0) + 1)
	for (const stream of streams) {
		const { tries } = stream
		if (tries.some((one) => one.isComplete && one.status === 200)) count('ended')
		if (tries.some((one) => one.lastEventId !== undefined && one.pieces.length > 0))
			count(TAKEN_UP_BY_CALLER)
		if (tries.some((one) => new Set(one.pieces.map(({ run }) => run)).size > 1))
			count(TAKEN_UP_BY_BOX)
		for (const fault of findOrderFaults(stream, fleet.runs)) count(`fault: ${fault}`)
	}
	for (const { name, fields } of fleet.allBoxes.flatMap((box) => box.logEvents))
		if (name === 'replacement-ended') count(`replacement: ${String(fields.result)}`)
		else if (name === 'stream-looked-up') count(`lookup: ${String(fields.result)}`)
	return counts
}

describe('streams among random faults', { timeout: 90_000 }, () => {
	it.each(Array.from({ length: SEED_COUNT }, (_, i) => FIRST_SEED + i))(
		'hold each piece once, of runs that belong together: seed %i',
		async (seed) => {
			const hunt = new OrderHunt(seed, seededRandom(seed))
			try {
				await hunt.play()
			} finally {
				await hunt.fleet.stop()
			}
			const { fleet, streams } = hunt
			const coverage = coverageOf(hunt)
			if (process.env.REPORT !== undefined) console.log(JSON.stringify({ seed, ...coverage }))
			const found = streams.filter((stream) =>
				findOrderFaults(stream, fleet.runs).some((fault) => SOUGHT.has(fault)),
			)
			const traces = found.flatMap((stream) => {
				const requests = new Set(stream.tries.map(({ id }) => id))
				return [describeOrder(stream, fleet.runs), ...fleet.logOf(requests)]
			})
			expect(traces.join('\n')).toBe('')
			expect(coverage[TAKEN_UP_BY_CALLER]).toBeGreaterThan(0)
			expect(coverage[TAKEN_UP_BY_BOX]).toBeGreaterThan(0)
		},
	)
})
