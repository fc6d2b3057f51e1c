import { brandId, type BoxName, type TargetName, type ZoneName } from '../ids.js'
import type { Millis } from '../units.js'
import type { AttemptHandle } from './AttemptHandle.js'
import { incarnationOf } from './TargetIncarnation.js'
import { TargetRegistry } from './TargetRegistry.js'
import type { TargetEntry } from './TargetEntry.js'
import type { TargetSpeedReport } from './TargetSpeeds.js'
import { entry, query } from './testEntries.js'

/**
 * What the boxes know of the speeds.
 * - `today`: targets do not report a current slowdown.
 * - `lasting`: targets always report the usual speed.
 * - `both`: targets report their current slowdown.
 * - `truth`: both factors are known at any time.
 */
export type KnownSpeeds = 'today' | 'lasting' | 'both' | 'truth'

export interface UnevenTargetsOptions {
	readonly known: KnownSpeeds
	readonly random: () => number
	readonly boxes: number
	readonly targets: number
	readonly zones: number
	/** Mean demand as a fraction of the capacity of all targets. */
	readonly load: number
	/** Amplitude of the demand of each zone, as a fraction of its mean, with an equal phase shift between zones. */
	readonly waveAmplitude: number
	readonly wavePeriodMs: Millis
	readonly durationMs: Millis
}

export interface UnevenTargetsResult {
	readonly p50Ms: Millis
	readonly p95Ms: Millis
	/** Greatest deviation of the work of a speed class from its share of the capacity, as a fraction of that share. */
	readonly workDeviation: number
	/** Mean change of the share of a target from one second to the next, as a fraction of its mean share. */
	readonly shareChange: number
	/** Fraction of the requests that ran in another zone. */
	readonly crossZone: number
	/** Standard deviation of that fraction over quarters of a second. */
	readonly crossZoneSwing: number
}

interface SimulatedRequest {
	readonly handle: AttemptHandle
	readonly sentAt: Millis
	leftTokens: number
}

interface SimulatedTarget {
	readonly entry: TargetEntry
	readonly speed: number
	readonly phaseMs: Millis
	readonly queue: SimulatedRequest[]
	momentary: number
	doneTokens: number
	readonly sentBySecond: number[]
}

const TOKENS_PER_MS = 35
const STEP_MS = 8
const SLOTS = 16
const SLOW_SHARE = 0.25
const SLOW_SPEED = 0.55
const FAST_SPEED = 1.2
const MOMENTARY_FACTOR = 2.5
const MOMENTARY_SHARE = 0.15
const MOMENTARY_MS = 600
/** Mean throughput of an engine with momentary slowdowns, as a fraction of that without. */
const MEAN_THROUGHPUT = 1 - MOMENTARY_SHARE + MOMENTARY_SHARE / MOMENTARY_FACTOR
const MIN_TOKENS = 1_000
const MAX_TOKENS = 5_000
const WORK_REPORT_MS = 25
const SPEED_REPORT_MS = 500
/** Each box has a report of each target that is between these ages. */
const MIN_REPORT_AGE_MS = 25
const MAX_REPORT_AGE_MS = 600
const WARM_UP_MS = 5_000
const SWING_MS = 250
const FLEET = brandId<BoxName>('fleet')
const TRUTH_SAMPLES = 1e9

/** Simulates boxes that place prompts at engines of uneven and changing speeds. */
export function simulateUnevenTargets(options: UnevenTargetsOptions): UnevenTargetsResult {
	return new UnevenTargetsSimulation(options).run()
}

class UnevenTargetsSimulation {
	private readonly targets: readonly SimulatedTarget[]
	private readonly byName: ReadonlyMap<TargetName, SimulatedTarget>
	private readonly registries: readonly TargetRegistry[]
	private readonly zones: readonly ZoneName[]
	private readonly latencies: Millis[] = []
	private readonly crossings: { total: number; crossed: number }[] = []
	private dueByZone: number[]
	private now: Millis = 0

	constructor(private readonly options: UnevenTargetsOptions) {
		const { random, targets, boxes } = options
		this.zones = Array.from({ length: options.zones }, (_, i) => brandId<ZoneName>(`z${i}`))
		this.dueByZone = this.zones.map(() => 0)
		this.targets = Array.from({ length: targets }, (_, i) => ({
			entry: entry(`t${i}`, { slots: SLOTS, zone: this.zoneOf(i) }),
			// Every fourth of each zone is slow.
			speed: Math.floor(i / options.zones) % (1 / SLOW_SHARE) === 0 ? SLOW_SPEED : FAST_SPEED,
			phaseMs: Math.floor(random() * MOMENTARY_MS),
			queue: [],
			momentary: 1,
			doneTokens: 0,
			sentBySecond: [],
		}))
		this.byName = new Map(this.targets.map((target) => [target.entry.name, target]))
		this.registries = Array.from({ length: boxes }, () => {
			const registry = new TargetRegistry()
			registry.replace(
				this.targets.map((target) => target.entry),
				0,
			)
			return registry
		})
	}

	run(): UnevenTargetsResult {
		for (; this.now < this.options.durationMs; this.now++) {
			for (const target of this.targets) this.advance(target)
			if (this.now % WORK_REPORT_MS === 0) this.shareWork()
			if (this.options.known === 'both' && this.now % WORK_REPORT_MS === 0) this.shareReports()
			if (this.options.known !== 'truth' && this.now % SPEED_REPORT_MS === 0) this.shareSpeeds()
			this.zones.forEach((_, zone) => this.arrive(zone))
		}
		return this.result()
	}

	private zoneOf(index: number): ZoneName {
		return this.zones[index % this.zones.length]!
	}

	private advance(target: SimulatedTarget): void {
		if ((this.now + target.phaseMs) % MOMENTARY_MS === 0)
			target.momentary = this.options.random() < MOMENTARY_SHARE ? MOMENTARY_FACTOR : 1
		let tokens = (TOKENS_PER_MS * target.speed) / target.momentary
		if (this.now >= WARM_UP_MS && target.queue.length > 0) target.doneTokens += tokens
		while (target.queue[0] && tokens > 0) {
			const [first] = target.queue
			const used = Math.min(tokens, first.leftTokens)
			first.leftTokens -= used
			tokens -= used
			if (first.leftTokens > 0) return
			target.queue.shift()
			this.answer(target, first)
		}
	}

	private answer(target: SimulatedTarget, { handle, sentAt }: SimulatedRequest): void {
		const at = this.now + (STEP_MS * target.momentary) / target.speed
		if (sentAt >= WARM_UP_MS) this.latencies.push(at - sentAt)
		const load = { running: target.queue.length, waiting: 0, slots: SLOTS }
		handle.noteByte(at)
		handle.noteLoad({ ...load, ...this.reportOf(target) }, at)
		handle.end('good', at)
	}

	private reportOf(target: SimulatedTarget): { readonly currentSlowdown?: number } {
		if (this.options.known === 'today') return {}
		return { currentSlowdown: this.options.known === 'lasting' ? 1 : target.momentary }
	}

	private shareWork(): void {
		const own = this.registries.map((registry) => registry.openWork(() => false, this.now))
		const totals = new Map<TargetName, { prefillTokens: number; openRequests: number }>()
		for (const { incarnation, prefillTokens, openRequests } of own.flat()) {
			const name = brandId<TargetName>(incarnation)
			const sum = totals.get(name) ?? { prefillTokens: 0, openRequests: 0 }
			totals.set(name, {
				prefillTokens: sum.prefillTokens + prefillTokens,
				openRequests: sum.openRequests + openRequests,
			})
		}
		this.registries.forEach((registry, box) => {
			const ownRows = new Map(own[box]?.map((row) => [row.incarnation as string, row]))
			const rows = [...totals].map(([name, sum]) => ({
				incarnation: incarnationOf({ name, bornAt: undefined }),
				prefillTokens: sum.prefillTokens - (ownRows.get(name)?.prefillTokens ?? 0),
				openRequests: sum.openRequests - (ownRows.get(name)?.openRequests ?? 0),
			}))
			// As the boxes do, reports only targets where others have work.
			const ofOthers = rows.filter(({ openRequests }) => openRequests > 0)
			registry.notePeerWork(FLEET, ofOthers, this.now)
		})
	}

	/** Renews the reports that have reached their maximum age, at different times for each box and target. */
	private shareReports(): void {
		const intervals = (MAX_REPORT_AGE_MS - MIN_REPORT_AGE_MS) / WORK_REPORT_MS
		const turn = this.now / WORK_REPORT_MS
		this.registries.forEach((registry, box) => {
			const due = this.targets.filter((_, i) => (turn + 7 * box + 5 * i) % intervals === 0)
			registry.speeds.noteReports(FLEET, due.map(reportCurrent), this.now)
		})
	}

	/** Sends the measurements of all boxes to all boxes. */
	private shareSpeeds(): void {
		const sums = new Map<string, { samples: number; sum: number; report: TargetSpeedReport }>()
		for (const registry of this.registries)
			for (const report of registry.speeds.reports(() => false, this.now)) {
				const known = sums.get(report.incarnation) ?? { samples: 0, sum: 0, report }
				known.samples += report.samples
				known.sum += report.samples * Math.log(report.lasting)
				sums.set(report.incarnation, known)
			}
		const rows = [...sums.values()].map(({ samples, sum, report }) => ({
			...report,
			lasting: samples > 0 ? Math.exp(sum / samples) : 1,
			samples,
			current: undefined,
		}))
		for (const registry of this.registries)
			registry.speeds.noteReports(brandId<BoxName>('hub'), rows, this.now)
	}

	private arrive(zone: number): void {
		const { load, waveAmplitude, wavePeriodMs, random, zones, boxes } = this.options
		const capacity = this.targets.reduce((sum, { speed }) => sum + speed, 0) * MEAN_THROUGHPUT
		const mean = (load * capacity * TOKENS_PER_MS) / ((MIN_TOKENS + MAX_TOKENS) / 2) / zones
		const phase = this.now / wavePeriodMs + zone / zones
		const rate = mean * (1 + waveAmplitude * Math.sin(2 * Math.PI * phase))
		// Poisson arrivals, approximated by one Bernoulli trial in each tenth of a millisecond.
		for (let i = 0; i < 10; i++) {
			if (random() >= rate / 10) continue
			const inZone = Math.ceil((boxes - zone) / zones)
			this.place(zone + zones * Math.floor(random() * inZone), zone)
		}
	}

	private place(box: number, zone: number): void {
		const { random, known } = this.options
		const registry = this.registries[box]
		if (!registry) return
		if (known === 'truth')
			registry.speeds.noteReports(FLEET, this.targets.map(reportTruth), this.now)
		const tokens = Math.round(MIN_TOKENS + (MAX_TOKENS - MIN_TOKENS) * random())
		const work = { inputTokens: tokens, maxOutputTokens: 10, parts: [] }
		const placement = registry.choose(query({ work, random, zone: this.zoneOf(zone) }), this.now)
		const target = placement && this.byName.get(placement.target.name)
		if (!target) return
		const handle = registry.beginAttempt(placement, work, this.now)
		target.queue.push({ handle, sentAt: this.now, leftTokens: tokens })
		if (this.now < WARM_UP_MS) return
		const second = Math.floor(this.now / 1_000)
		target.sentBySecond[second] = (target.sentBySecond[second] ?? 0) + 1
		const crossing = (this.crossings[Math.floor(this.now / SWING_MS)] ??= { total: 0, crossed: 0 })
		crossing.total++
		if (target.entry.zone !== this.zoneOf(zone)) crossing.crossed++
	}

	private result(): UnevenTargetsResult {
		const sorted = [...this.latencies].sort((a, b) => a - b)
		const quantile = (q: number): Millis => sorted[Math.floor(q * sorted.length)] ?? 0
		const swings = this.crossings.filter(Boolean).map(({ total, crossed }) => crossed / total)
		return {
			p50Ms: quantile(0.5),
			p95Ms: quantile(0.95),
			workDeviation: this.workDeviation(),
			shareChange: this.shareChange(),
			crossZone: meanOf(swings),
			crossZoneSwing: Math.sqrt(meanOf(swings.map((swing) => (swing - meanOf(swings)) ** 2))),
		}
	}

	private workDeviation(): number {
		const total = sumOf(this.targets.map(({ doneTokens }) => doneTokens))
		const capacity = sumOf(this.targets.map(({ speed }) => speed))
		const deviations = [SLOW_SPEED, FAST_SPEED].map((classSpeed) => {
			const ofClass = this.targets.filter(({ speed }) => speed === classSpeed)
			const work = sumOf(ofClass.map(({ doneTokens }) => doneTokens)) / total
			return Math.abs(work / ((ofClass.length * classSpeed) / capacity) - 1)
		})
		return Math.max(...deviations)
	}

	private shareChange(): number {
		const first = WARM_UP_MS / 1_000
		const last = this.options.durationMs / 1_000
		const changes = this.targets.map(({ sentBySecond }) => {
			const counts = Array.from({ length: last - first }, (_, i) => sentBySecond[first + i] ?? 0)
			const steps = counts.slice(1).map((count, i) => Math.abs(count - (counts[i] ?? 0)))
			return meanOf(steps) / Math.max(1, meanOf(counts))
		})
		return meanOf(changes)
	}
}

function reportCurrent({ entry: target, momentary }: SimulatedTarget): TargetSpeedReport {
	const current = { factor: momentary, ageMs: MIN_REPORT_AGE_MS }
	return { incarnation: incarnationOf(target), lasting: 1, samples: 0, current }
}

function reportTruth({ entry: target, speed, momentary }: SimulatedTarget): TargetSpeedReport {
	const current = { factor: momentary, ageMs: 0 }
	return { incarnation: incarnationOf(target), lasting: 1 / speed, samples: TRUTH_SAMPLES, current }
}

function sumOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0)
}

function meanOf(values: readonly number[]): number {
	return values.length > 0 ? sumOf(values) / values.length : 0
}
