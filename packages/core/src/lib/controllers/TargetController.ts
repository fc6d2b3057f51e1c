import type { TargetRecord } from '../bundle/Bundle.js'
import type { RequestId, TargetName } from '../ids.js'
import { pickTarget, DEFAULT_PICK_OPTIONS, type PickOptions } from '../routing/pickTarget.js'
import { newTargetState, type TargetState } from '../routing/TargetState.js'
import type { TargetsSection } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { Work } from '../router/CoreEvent.js'
import type { LoadReport } from '../router/LoadReport.js'
import type { Priority } from '../bundle/Bundle.js'
import type { Millis } from '../units.js'

const EJECTION_FAILURES = 3
const EJECTION_MS: Millis = 5_000
const FAILURE_RATE_SMOOTHING = 0.1

/** Properties of a run that determine the choice of its target. */
export interface TargetQuery {
	readonly id: RequestId
	readonly work: Work
	readonly priority: Priority
	/** Targets that the run has tried. They are chosen again only if no other target is available. */
	readonly triedTargets: ReadonlySet<TargetName>
}

/** Manages the targets of the zone: chooses targets for runs, ejects failing ones and tracks which are leaving. */
export class TargetController {
	private appliedBundleVersion = 0
	private listedLeaving = new Set<TargetName>()
	private readonly reportedLeaving = new Set<TargetName>()

	constructor(
		private readonly context: CoreContext,
		private readonly section: TargetsSection,
		private readonly options: PickOptions = DEFAULT_PICK_OPTIONS,
	) {}

	tick(): void {
		const index = this.context.blackboard.config.index
		if (!index || index.bundle.version === this.appliedBundleVersion) return
		this.appliedBundleVersion = index.bundle.version
		this.applyRecords(index.targetsOf(this.context.self.zone))
	}

	/** True if the zone has a target for this work, whether or not it has capacity. */
	hasTargetFor(work: Work): boolean {
		for (const state of this.section.states.values())
			if (!state.leaving && servesWork(state.record, work)) return true
		return false
	}

	/** Chooses a target and logs the choice. Returns undefined if none has capacity. */
	chooseTarget(query: TargetQuery): TargetState | undefined {
		const { id, work, priority, triedTargets } = query
		const headroom = this.context.blackboard.config.index?.bundle.policy.urgentHeadroom ?? 0
		const candidates = [...this.section.states.values()].filter((state) => {
			return this.canTakeRequest(state, priority, headroom) && servesWork(state.record, work)
		})
		const untried = candidates.filter((state) => !triedTargets.has(state.record.name))
		const pool = untried.length > 0 ? untried : candidates
		const prefix = work.kind === 'model' ? work.prefixHash : undefined
		const choice = pickTarget(pool, {
			prefix,
			now: this.context.now,
			random: this.context.random,
			options: this.options,
		})
		if (!choice) return undefined
		this.context.log('target-chosen', {
			request: id,
			target: choice.state.record.name,
			score: choice.score,
			considered: choice.considered,
			candidates: pool.length,
		})
		return choice.state
	}

	onAttemptStarted(name: TargetName): void {
		const state = this.section.states.get(name)
		if (!state) return
		state.inFlight++
		state.startedSinceReport++
		if (state.ejectedUntil > 0) state.isProbing = true
	}

	onAttemptEnded(name: TargetName, hasFailed: boolean): void {
		const state = this.section.states.get(name)
		if (!state) return
		state.inFlight = Math.max(0, state.inFlight - 1)
		state.failureRate += FAILURE_RATE_SMOOTHING * ((hasFailed ? 1 : 0) - state.failureRate)
		state.consecutiveFailures = hasFailed ? state.consecutiveFailures + 1 : 0
		if (hasFailed) this.noteFailure(state)
		else this.endEjection(state)
	}

	onLoad(reports: readonly LoadReport[]): void {
		for (const report of reports) {
			const state = this.section.states.get(report.target)
			if (!state || report.at < state.reportedAt) continue
			state.reportedLoad = report.running + report.waiting
			state.reportedAt = report.at
			state.startedSinceReport = 0
			if (report.leaving) this.reportedLeaving.add(report.target)
			else this.reportedLeaving.delete(report.target)
			this.updateLeaving(state)
		}
	}

	/** Sets the targets that are leaving according to the list on the platform. */
	setListedLeaving(targets: readonly TargetName[]): void {
		this.listedLeaving = new Set(targets)
		for (const state of this.section.states.values()) this.updateLeaving(state)
	}

	private canTakeRequest(state: TargetState, priority: Priority, headroom: number): boolean {
		if (state.leaving || state.ejectedUntil > this.context.now || state.isProbing) return false
		const limit = this.limitPerBox(state.record.concurrency)
		const usable = priority === 'urgent' ? limit : Math.max(1, Math.floor(limit * (1 - headroom)))
		return state.inFlight < usable
	}

	/** Share of this box in a limit of the zone. */
	private limitPerBox(limit: number): number {
		const boxes = Math.max(1, this.context.blackboard.members.view.members.length)
		return Math.max(1, Math.ceil(limit / boxes))
	}

	private noteFailure(state: TargetState): void {
		const hasProbeFailed = state.isProbing
		state.isProbing = false
		if (state.consecutiveFailures < EJECTION_FAILURES && !hasProbeFailed) return
		state.ejectedUntil = this.context.now + EJECTION_MS
		this.context.log('target-ejected', {
			target: state.record.name,
			failures: state.consecutiveFailures,
		})
	}

	private endEjection(state: TargetState): void {
		if (state.ejectedUntil === 0) return
		state.ejectedUntil = 0
		state.isProbing = false
		state.sendingSince = this.context.now
		this.context.log('target-restored', { target: state.record.name })
	}

	private applyRecords(records: readonly TargetRecord[]): void {
		const { states } = this.section
		const names = new Set(records.map((record) => record.name))
		for (const name of states.keys()) if (!names.has(name)) states.delete(name)
		for (const record of records) {
			const known = states.get(record.name)
			if (known) known.record = record
			else states.set(record.name, newTargetState(record, this.context.now))
		}
		for (const state of states.values()) this.updateLeaving(state)
	}

	private updateLeaving(state: TargetState): void {
		const { name, leaving } = state.record
		const isLeaving = leaving || this.listedLeaving.has(name) || this.reportedLeaving.has(name)
		if (isLeaving && !state.leaving) this.context.log('target-leaving', { target: name })
		state.leaving = isLeaving
	}
}

function servesWork(record: TargetRecord, work: Work): boolean {
	const name = work.kind === 'model' ? work.model : work.service
	const kind = work.kind === 'model' ? 'engine' : 'service'
	return record.kind === kind && record.serves.includes(name)
}
