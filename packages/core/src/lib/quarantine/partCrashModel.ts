import { brandId, type PromptPartId } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import { PartQuarantine, type PartQuarantineLimits } from './PartQuarantine.js'

/** Options of {@link simulatePartCrashes}. Rates are per second. */
export interface PartCrashModelOptions {
	readonly random: () => number
	readonly limits: PartQuarantineLimits
	/** Parts that crash the target that runs a request with one of them. */
	readonly fatalParts: number
	/** Requests with each of the fatal parts. */
	readonly fatalRate: number
	/** The fatal parts were answered until the first fatal request. */
	readonly wereSound: boolean
	/** All fatal requests also hold one part that only few sound ones have. */
	readonly withRarePart: boolean
	/** Crashes of single targets for other reasons. */
	readonly strayCrashRate: number
	/** All targets crash in turn, again and again, for a reason that is not in the requests. */
	readonly allTargetsCrash: boolean
}

/** Counts of one simulation. */
export interface PartCrashModelResult {
	/** Requests with a fatal part that reached targets. */
	readonly fatalRuns: number
	/** The same, later than {@link CONTACT_MS} after the fifth crash. */
	readonly lateFatalRuns: number
	readonly soundRequests: number
	readonly soundRefused: number
	readonly soundAnswered: number
}

interface ModelRequest {
	readonly isFatal: boolean
	readonly parts: readonly PromptPartId[]
}

interface ModelRun extends ModelRequest {
	readonly target: number
	readonly endsAt: number
}

/** Sound requests of one kind: their rate per second, duration, and number of different first and second parts. */
interface SoundKind {
	readonly name: string
	readonly rate: number
	readonly maxRunMs: number
	readonly firstParts: number
	readonly secondParts: number
}

const SOUND_KINDS: readonly SoundKind[] = [
	{ name: 'report', rate: 10, maxRunMs: 1_000, firstParts: 4, secondParts: 173 },
	{ name: 'chat', rate: 10, maxRunMs: 5_000, firstParts: 20, secondParts: 115 },
]
const TARGETS = 6
const STEP_MS = 20
const DURATION_MS = 40_000
const FIRST_FATAL_AT_MS = 10_000
const MIN_RUN_MS = 60
const MAX_FATAL_RUN_MS = 500
const RESTART_MS = 3_000
const CRASH_INTERVAL_MS = 1_000
const CONTACT_MS = 3_000
const CRASHES = 5

/** Simulates requests with fatal parts beside sound ones in virtual time, with one quarantine for all boxes. */
export function simulatePartCrashes(options: PartCrashModelOptions): PartCrashModelResult {
	return new PartCrashModel(options).run()
}

class PartCrashModel {
	private readonly quarantine: PartQuarantine
	private readonly upAt = Array.from({ length: TARGETS }, () => 0)
	private readonly restarts = Array.from({ length: TARGETS }, () => 0)
	private runs: ModelRun[] = []
	private now = 0
	private fatalCrashTimes: number[] = []
	private fatalRunTimes: number[] = []
	private soundRequests = 0
	private soundRefused = 0
	private soundAnswered = 0

	constructor(private readonly options: PartCrashModelOptions) {
		this.quarantine = new PartQuarantine(options.limits)
	}

	run(): PartCrashModelResult {
		for (; this.now < DURATION_MS; this.now += STEP_MS) {
			this.quarantine.expire(this.now)
			for (const run of this.runs.filter(({ endsAt }) => endsAt <= this.now)) this.endRun(run)
			this.crashTargets()
			this.sendRequests()
		}
		const fifthAt = this.fatalCrashTimes[CRASHES - 1] ?? Infinity
		return {
			fatalRuns: this.fatalRunTimes.length,
			lateFatalRuns: this.fatalRunTimes.filter((at) => at > fifthAt + CONTACT_MS).length,
			soundRequests: this.soundRequests,
			soundRefused: this.soundRefused,
			soundAnswered: this.soundAnswered,
		}
	}

	private crashTargets(): void {
		const { allTargetsCrash, strayCrashRate } = this.options
		if (this.happens(strayCrashRate)) this.crash(this.pick(TARGETS))
		if (allTargetsCrash && this.now % CRASH_INTERVAL_MS === 0)
			this.crash((this.now / CRASH_INTERVAL_MS) % TARGETS)
	}

	private sendRequests(): void {
		const { fatalParts, fatalRate, wereSound } = this.options
		for (const kind of SOUND_KINDS)
			if (this.happens(kind.rate)) this.send({ isFatal: false, parts: this.soundParts(kind) })
		const isFatal = this.now >= FIRST_FATAL_AT_MS
		if (!isFatal && !wereSound) return
		for (let i = 0; i < fatalParts; i++)
			if (this.happens(fatalRate)) this.send({ isFatal, parts: this.fatalPartsOf(i) })
	}

	private send(request: ModelRequest): void {
		if (!request.isFatal) this.soundRequests++
		if (this.quarantine.findHeld(request.parts, this.now)) {
			if (!request.isFatal) this.soundRefused++
			return
		}
		const up = this.upAt.flatMap((at, target) => (at <= this.now ? target : []))
		const target = up[this.pick(up.length)]
		if (target === undefined) return
		if (request.isFatal) this.fatalRunTimes.push(this.now)
		const maxRunMs = request.isFatal ? MAX_FATAL_RUN_MS : this.maxSoundRunMs(request)
		const durationMs = MIN_RUN_MS + this.options.random() * maxRunMs
		this.runs.push({ ...request, target, endsAt: this.now + durationMs })
	}

	private endRun(run: ModelRun): void {
		if (!this.runs.includes(run)) return
		if (run.isFatal) {
			this.fatalCrashTimes.push(this.now)
			this.crash(run.target)
			return
		}
		this.runs = this.runs.filter((other) => other !== run)
		this.soundAnswered++
		this.quarantine.recordAnswer(run.parts, this.now)
	}

	private crash(target: number): void {
		if ((this.upAt[target] ?? 0) > this.now) return
		const incarnation = brandId<TargetIncarnation>(`t-${target}@${this.restarts[target]}`)
		for (const { parts } of this.runs.filter((run) => run.target === target))
			this.quarantine.recordCrash(parts, incarnation, this.now)
		this.runs = this.runs.filter((run) => run.target !== target)
		this.restarts[target] = (this.restarts[target] ?? 0) + 1
		this.upAt[target] = this.now + RESTART_MS
	}

	private soundParts({ firstParts, name, secondParts }: SoundKind): PromptPartId[] {
		return partIds(
			`${name}-first-${this.pick(firstParts)}`,
			`${name}-second-${this.pick(secondParts)}`,
		)
	}

	private fatalPartsOf(index: number): PromptPartId[] {
		const second = this.options.withRarePart ? 0 : this.pick(173)
		return partIds(`report-first-0`, `report-second-${second}`, `fatal-${index}`)
	}

	private maxSoundRunMs({ parts }: ModelRequest): number {
		return SOUND_KINDS.find(({ name }) => parts[0]?.startsWith(name))?.maxRunMs ?? 0
	}

	private happens(ratePerSecond: number): boolean {
		return this.options.random() < (ratePerSecond * STEP_MS) / 1_000
	}

	private pick(count: number): number {
		return Math.floor(this.options.random() * count)
	}
}

function partIds(...ids: string[]): PromptPartId[] {
	return ids.map((id) => brandId<PromptPartId>(id))
}
