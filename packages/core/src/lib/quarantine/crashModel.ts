import { brandId, type RequestFingerprint } from '../ids.js'
import type { TargetIncarnation } from '../placement/TargetIncarnation.js'
import { RequestQuarantine, type RequestIdentity } from './RequestQuarantine.js'

/** Options of {@link simulateCrashes}. */
export interface CrashModelOptions {
	readonly random: () => number
	/** Number of requests that crash the target that runs them. */
	readonly crashing: number
	/** Number of requests that do not; each is sent repeatedly. */
	readonly harmless: number
	readonly targets: number
	/** Probability per step that one target crashes for another reason. */
	readonly strayCrashProbability: number
	/** Probability per step that {@link RACK_SIZE} targets crash at the same time. */
	readonly rackCrashProbability: number
	/** Maximum duration of a run of a harmless request, in ms. */
	readonly maxRunMs: number
	/** Maximum attempts for each try of a request. */
	readonly maxAttempts: number
}

/** Counts of one simulation. */
export interface CrashModelResult {
	readonly harmlessRefused: number
	/** Tries of harmless requests that were answered. */
	readonly harmlessServed: number
	readonly harmlessTries: number
	/** Maximum crashes caused by one crashing request. */
	readonly maxCrashesPerRequest: number
	readonly crashes: number
}

interface ModelRun {
	readonly request: RequestIdentity
	readonly isCrashing: boolean
	readonly target: number
	readonly startedAt: number
	readonly endsAt: number
	readonly attempts: number
}

const STEP_MS = 50
const DURATION_MS = 20_000
const CRASH_AFTER_MS = 60
const RESTART_MS = 1_500
const RACK_SIZE = 4

/** Simulates crashing and harmless requests in virtual time, with one quarantine shared by all boxes. */
export function simulateCrashes(options: CrashModelOptions): CrashModelResult {
	return new CrashModel(options).run()
}

class CrashModel {
	private readonly quarantine = new RequestQuarantine()
	private readonly upAt: number[]
	private readonly restarts: number[]
	private readonly crashing: readonly RequestIdentity[]
	private readonly harmless: readonly RequestIdentity[]
	private readonly crashesByRequest = new Map<RequestFingerprint, number>()
	private runs: ModelRun[] = []
	private now = 0
	private harmlessRefused = 0
	private harmlessServed = 0
	private harmlessTries = 0
	private crashes = 0

	constructor(private readonly options: CrashModelOptions) {
		this.upAt = Array.from({ length: options.targets }, () => 0)
		this.restarts = Array.from({ length: options.targets }, () => 0)
		this.crashing = identities('crashing', options.crashing)
		this.harmless = identities('harmless', options.harmless)
	}

	run(): CrashModelResult {
		const { random, rackCrashProbability, strayCrashProbability } = this.options
		for (; this.now < DURATION_MS; this.now += STEP_MS) {
			this.quarantine.expire(this.now)
			for (const run of this.runs.filter((one) => one.endsAt <= this.now)) this.endRun(run)
			if (random() < strayCrashProbability) this.crash([this.anyTarget()])
			if (random() < rackCrashProbability)
				this.crash(Array.from({ length: RACK_SIZE }, () => this.anyTarget()))
			for (const request of this.crashing) if (random() < 0.3) this.start(request, true, 0)
			for (const request of this.harmless) {
				if (random() >= 0.1) continue
				this.harmlessTries++
				this.start(request, false, 0)
			}
		}
		const { harmlessRefused, harmlessServed, harmlessTries, crashes } = this
		const maxCrashesPerRequest = Math.max(0, ...this.crashesByRequest.values())
		return {
			harmlessRefused,
			harmlessServed,
			harmlessTries,
			maxCrashesPerRequest,
			crashes,
		}
	}

	private start(request: RequestIdentity, isCrashing: boolean, attempts: number): void {
		const stage = this.quarantine.stageOf(request.fingerprint)
		if (stage === 'quarantined') {
			if (!isCrashing) this.harmlessRefused++
			return
		}
		const isRunning = this.runs.some((run) => run.request === request)
		if (stage === 'probation' && (isRunning || attempts > 0)) return
		const up = this.upAt.flatMap((at, target) => (at <= this.now ? [target] : []))
		const target = up[Math.floor(this.options.random() * up.length)]
		if (target === undefined) return
		const durationMs = isCrashing
			? CRASH_AFTER_MS
			: 20 + this.options.random() * this.options.maxRunMs
		const { now } = this
		this.runs.push({
			request,
			isCrashing,
			target,
			startedAt: now,
			endsAt: now + durationMs,
			attempts: attempts + 1,
		})
	}

	private endRun(run: ModelRun): void {
		if (!this.runs.includes(run)) return
		if (run.isCrashing) {
			const { fingerprint } = run.request
			this.crashesByRequest.set(fingerprint, (this.crashesByRequest.get(fingerprint) ?? 0) + 1)
			this.crash([run.target])
			return
		}
		this.runs = this.runs.filter((one) => one !== run)
		this.harmlessServed++
		this.quarantine.clear(run.request.fingerprint, this.now)
	}

	/** Crashes targets at the same time, and retries their runs at other targets within the attempt limit. */
	private crash(targets: readonly number[]): void {
		const lost = this.runs.filter((run) => targets.includes(run.target))
		this.runs = this.runs.filter((run) => !targets.includes(run.target))
		for (const { startedAt, request, target } of lost) {
			const incarnation = brandId<TargetIncarnation>(`t-${target}@${this.restarts[target]}`)
			this.quarantine.recordCrash(request, { incarnation, startedAt, endedAt: this.now }, this.now)
		}
		for (const target of new Set(targets)) {
			this.crashes++
			this.restarts[target] = (this.restarts[target] ?? 0) + 1
			this.upAt[target] = this.now + RESTART_MS
		}
		for (const run of lost)
			if (run.attempts < this.options.maxAttempts)
				this.start(run.request, run.isCrashing, run.attempts)
	}

	private anyTarget(): number {
		return Math.floor(this.options.random() * this.options.targets)
	}
}

function identities(name: string, count: number): readonly RequestIdentity[] {
	return Array.from({ length: count }, (_, i) => ({
		fingerprint: brandId<RequestFingerprint>(`${name}-${i}`),
		hint: i,
	}))
}
