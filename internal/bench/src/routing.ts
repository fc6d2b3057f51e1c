/**
 * Compares target selection strategies in virtual time, using the real `pickTarget`:
 * `npm run bench:routing`. Routers know their own attempts and load reports up to one second old.
 */
import {
	DEFAULT_PICK_OPTIONS,
	brandId,
	newTargetState,
	pickTarget,
	type PickOptions,
	type TargetName,
	type TargetState,
	type ZoneName,
} from '@stallwing/core'
import { EventQueue, Random } from '@stallwing/soak'

const DURATION_MS = 60_000
const REPORT_PERIOD_MS = 1_000
const TARGET_COUNT = 12
/** Concurrent requests that a target serves at full speed. Above it, all requests slow down evenly. */
const MAX_FULL_SPEED_REQUESTS = 8
const SERVICE_TIME_MS = 400
const EJECT_AFTER_FAILURES = 3
const EJECTION_MS = 5_000
const LOAD_SHARE = 0.7
const PERCENT = 100

interface SimTarget {
	running: number
	/** Factor by which requests take longer than at a normal target. */
	readonly slowdown: number
	/** Share of requests that fail immediately. */
	readonly failureShare: number
}

interface Scenario {
	readonly name: string
	/** Properties that differ at the first target. */
	readonly firstTarget: Partial<SimTarget>
}

interface Strategy {
	readonly name: string
	readonly options: Partial<PickOptions>
	readonly ejectsTargets: boolean
}

const SCENARIOS: readonly Scenario[] = [
	{ name: 'all alike', firstTarget: {} },
	{ name: 'one slow (x5)', firstTarget: { slowdown: 5 } },
	{ name: 'one dead', firstTarget: { failureShare: 1 } },
	{ name: 'one grey (30 % fail)', firstTarget: { failureShare: 0.3 } },
]

const STRATEGIES: readonly Strategy[] = [
	{ name: 'random', options: { policy: 'random' }, ejectsTargets: false },
	{ name: 'round robin', options: { policy: 'round-robin' }, ejectsTargets: false },
	{
		name: 'least reported load',
		options: { policy: 'least-load', failureCost: 0 },
		ejectsTargets: false,
	},
	{ name: 'two at random', options: { failureCost: 0 }, ejectsTargets: false },
	{ name: 'two, failure cost', options: {}, ejectsTargets: false },
	{ name: 'two, ejection', options: { failureCost: 0 }, ejectsTargets: true },
	{ name: 'two, both (in force)', options: {}, ejectsTargets: true },
]

for (const routers of [8, 400]) {
	process.stdout.write(
		`\n${routers} routers, ${TARGET_COUNT} targets at ${LOAD_SHARE * PERCENT} % load\n`,
	)
	process.stdout.write(
		`${'way'.padEnd(22)} ${SCENARIOS.map((scenario) => scenario.name.padEnd(26)).join('')}\n`,
	)
	for (const strategy of STRATEGIES) {
		const cells = SCENARIOS.map((scenario) => simulate(routers, strategy, scenario).padEnd(26))
		process.stdout.write(`${strategy.name.padEnd(22)} ${cells.join('')}\n`)
	}
}

/** Runs a simulation and formats p50 and p99 latency and the share of failed requests. */
function simulate(routers: number, strategy: Strategy, scenario: Scenario): string {
	const queue = new EventQueue()
	const random = new Random(42)
	const targets = Array.from({ length: TARGET_COUNT }, (_, i): SimTarget => {
		return { running: 0, slowdown: 1, failureShare: 0, ...(i === 0 ? scenario.firstTarget : {}) }
	})
	const views = Array.from({ length: routers }, () => targets.map((_, i) => makeTargetState(i)))
	const latencies: number[] = []
	let failed = 0
	const options = { ...DEFAULT_PICK_OPTIONS, ...strategy.options }

	function report(): void {
		for (const view of views)
			view.forEach((state, i) => {
				state.reportedLoad = targets[i]?.running ?? 0
				state.reportedAt = queue.now
				state.startedSinceReport = 0
			})
		queue.schedule(REPORT_PERIOD_MS, report)
	}

	function send(): void {
		const view = random.pick(views)
		const available = view.filter((state) => state.ejectedUntil <= queue.now)
		const input = { prefix: undefined, now: queue.now, random: () => random.next(), options }
		const state = pickTarget(available.length > 0 ? available : view, input)?.state
		const target = targets[Number(state?.record.name ?? 0)]
		if (state && target) serve(state, target)
	}

	function serve(state: TargetState, target: SimTarget): void {
		state.inFlight++
		state.startedSinceReport++
		const fails = random.chance(target.failureShare)
		target.running++
		const loadFactor = Math.max(1, target.running / MAX_FULL_SPEED_REQUESTS)
		const variation = 0.5 + random.next()
		const ms = fails ? 5 : SERVICE_TIME_MS * target.slowdown * loadFactor * variation
		queue.schedule(ms, () => {
			state.inFlight--
			target.running--
			recordOutcome(state, fails, ms)
		})
	}

	function recordOutcome(state: TargetState, fails: boolean, ms: number): void {
		state.failureRate += 0.1 * (Number(fails) - state.failureRate)
		state.consecutiveFailures = fails ? state.consecutiveFailures + 1 : 0
		if (strategy.ejectsTargets && state.consecutiveFailures >= EJECT_AFTER_FAILURES)
			state.ejectedUntil = queue.now + EJECTION_MS
		if (fails) failed++
		else latencies.push(ms)
	}

	report()
	const arrivalsPerMs = (TARGET_COUNT * MAX_FULL_SPEED_REQUESTS * LOAD_SHARE) / SERVICE_TIME_MS
	const count = Math.floor(arrivalsPerMs * DURATION_MS)
	for (let i = 0; i < count; i++) queue.schedule(random.next() * DURATION_MS, send)
	while (queue.runNext(DURATION_MS));
	latencies.sort((a, b) => a - b)
	const percentile = (share: number): string => {
		return (latencies[Math.floor(latencies.length * share)] ?? 0).toFixed(0)
	}
	return `${percentile(0.5)} / ${percentile(0.99)} ms, ${((failed / count) * PERCENT).toFixed(2)} %`
}

function makeTargetState(index: number): TargetState {
	const record = {
		name: brandId<TargetName>(String(index)),
		zone: brandId<ZoneName>('zone-a'),
		kind: 'engine' as const,
		url: '',
		serves: [],
		concurrency: 64,
		leaving: false,
	}
	return newTargetState(record, -DURATION_MS)
}
