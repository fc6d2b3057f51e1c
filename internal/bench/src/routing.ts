/**
 * Ways of choosing a target, compared in virtual time with the real `pickTarget`:
 * `npm run bench:routing`. Routers see load reports that are a second old and their own attempts.
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

const SPAN_MS = 60_000
const REPORT_PERIOD_MS = 1_000
const TARGETS = 12
/** Requests that a target serves at full speed; beyond, all of them slow down evenly. */
const FULL_SPEED = 8
const SERVICE_MS = 400
const EJECT_AFTER = 3
const EJECT_MS = 5_000
const LOAD = 0.7
const PERCENT = 100

interface SimTarget {
	running: number
	/** How many times longer than normal a request takes here. */
	readonly slowness: number
	/** Share of requests that fail at once. */
	readonly failing: number
}

interface Scenario {
	readonly name: string
	readonly odd: Partial<SimTarget>
}

interface Way {
	readonly name: string
	readonly options: Partial<PickOptions>
	readonly eject: boolean
}

const SCENARIOS: readonly Scenario[] = [
	{ name: 'all alike', odd: {} },
	{ name: 'one slow (x5)', odd: { slowness: 5 } },
	{ name: 'one dead', odd: { failing: 1 } },
	{ name: 'one grey (30 % fail)', odd: { failing: 0.3 } },
]

const WAYS: readonly Way[] = [
	{ name: 'random', options: { policy: 'random' }, eject: false },
	{ name: 'round robin', options: { policy: 'round-robin' }, eject: false },
	{ name: 'least reported load', options: { policy: 'least-load', failureCost: 0 }, eject: false },
	{ name: 'two at random', options: { failureCost: 0 }, eject: false },
	{ name: 'two, failure cost', options: {}, eject: false },
	{ name: 'two, ejection', options: { failureCost: 0 }, eject: true },
	{ name: 'two, both (in force)', options: {}, eject: true },
]

for (const routers of [8, 400]) {
	process.stdout.write(`\n${routers} routers, ${TARGETS} targets at ${LOAD * PERCENT} % load\n`)
	process.stdout.write(`${'way'.padEnd(22)} ${SCENARIOS.map((s) => s.name.padEnd(26)).join('')}\n`)
	for (const way of WAYS) {
		const cells = SCENARIOS.map((scenario) => simulate(routers, way, scenario).padEnd(26))
		process.stdout.write(`${way.name.padEnd(22)} ${cells.join('')}\n`)
	}
}

/** One run; gives p50, p99 and failed requests. */
function simulate(routers: number, way: Way, scenario: Scenario): string {
	const queue = new EventQueue()
	const random = new Random(42)
	const targets = Array.from({ length: TARGETS }, (_, i): SimTarget => {
		return { running: 0, slowness: 1, failing: 0, ...(i === 0 ? scenario.odd : {}) }
	})
	const views = Array.from({ length: routers }, () => targets.map((_, i) => newState(i)))
	const latencies: number[] = []
	let failed = 0
	const options = { ...DEFAULT_PICK_OPTIONS, ...way.options }

	function report(): void {
		for (const view of views)
			view.forEach((state, i) => {
				state.reportedLoad = targets[i]?.running ?? 0
				state.reportedAt = queue.now
				state.startedSinceReport = 0
			})
		queue.after(REPORT_PERIOD_MS, report)
	}

	function send(): void {
		const view = random.pick(views)
		const open = view.filter((state) => state.ejectedUntil <= queue.now)
		const input = { prefix: undefined, now: queue.now, random: () => random.next(), options }
		const state = pickTarget(open.length > 0 ? open : view, input)?.state
		const target = targets[Number(state?.record.name ?? 0)]
		if (state && target) serve(state, target)
	}

	function serve(state: TargetState, target: SimTarget): void {
		state.inFlight++
		state.startedSinceReport++
		const fails = random.chance(target.failing)
		target.running++
		const crowding = Math.max(1, target.running / FULL_SPEED)
		const spread = 0.5 + random.next()
		const ms = fails ? 5 : SERVICE_MS * target.slowness * crowding * spread
		queue.after(ms, () => {
			state.inFlight--
			target.running--
			note(state, fails, ms)
		})
	}

	function note(state: TargetState, fails: boolean, ms: number): void {
		state.failureRate += 0.1 * (Number(fails) - state.failureRate)
		state.consecutiveFailures = fails ? state.consecutiveFailures + 1 : 0
		if (way.eject && state.consecutiveFailures >= EJECT_AFTER)
			state.ejectedUntil = queue.now + EJECT_MS
		if (fails) failed++
		else latencies.push(ms)
	}

	report()
	const perMs = (TARGETS * FULL_SPEED * LOAD) / SERVICE_MS
	const count = Math.floor(perMs * SPAN_MS)
	for (let i = 0; i < count; i++) queue.after(random.next() * SPAN_MS, send)
	while (queue.step(SPAN_MS));
	latencies.sort((a, b) => a - b)
	const at = (share: number): string => {
		return (latencies[Math.floor(latencies.length * share)] ?? 0).toFixed(0)
	}
	return `${at(0.5)} / ${at(0.99)} ms, ${((failed / count) * PERCENT).toFixed(2)} %`
}

function newState(i: number): TargetState {
	const record = {
		name: brandId<TargetName>(String(i)),
		zone: brandId<ZoneName>('zone-a'),
		kind: 'engine' as const,
		url: '',
		serves: [],
		concurrency: 64,
		leaving: false,
	}
	return newTargetState(record, -SPAN_MS)
}
