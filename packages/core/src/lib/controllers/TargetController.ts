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

/** What the choice needs to know of a run. */
export interface TargetQuery {
	readonly id: RequestId
	readonly work: Work
	readonly priority: Priority
	/** Targets that were tried already; taken again only where there is no other. */
	readonly triedTargets: ReadonlySet<TargetName>
}

/** Targets of the zone: which one a request goes to, and which get none. */
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

	/** True where the zone has a target for this work, free or not. */
	hasTargetFor(work: Work): boolean {
		for (const state of this.section.states.values())
			if (!state.leaving && servesWork(state.record, work)) return true
		return false
	}

	/** Chooses a target and says why; undefined where none is free. */
	chooseTarget(run: TargetQuery): TargetState | undefined {
		const { id, work, priority, triedTargets: tried } = run
		const headroom = this.context.blackboard.config.index?.bundle.policy.urgentHeadroom ?? 0
		const candidates = [...this.section.states.values()].filter((state) => {
			return this.canTakeRequest(state, priority, headroom) && servesWork(state.record, work)
		})
		const fresh = candidates.filter((state) => !tried.has(state.record.name))
		const pool = fresh.length > 0 ? fresh : candidates
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

	onAttemptEnded(name: TargetName, failed: boolean): void {
		const state = this.section.states.get(name)
		if (!state) return
		state.inFlight = Math.max(0, state.inFlight - 1)
		state.failureRate += FAILURE_RATE_SMOOTHING * ((failed ? 1 : 0) - state.failureRate)
		state.consecutiveFailures = failed ? state.consecutiveFailures + 1 : 0
		if (failed) this.noteFailure(state)
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

	/** Targets that the platform's list calls leaving. */
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

	/** This box's part of a limit that holds for the whole zone. */
	private limitPerBox(limit: number): number {
		const boxes = Math.max(1, this.context.blackboard.members.view.members.length)
		return Math.max(1, Math.ceil(limit / boxes))
	}

	private noteFailure(state: TargetState): void {
		const again = state.isProbing
		state.isProbing = false
		if (state.consecutiveFailures < EJECTION_FAILURES && !again) return
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
		const now = leaving || this.listedLeaving.has(name) || this.reportedLeaving.has(name)
		if (now && !state.leaving) this.context.log('target-leaving', { target: name })
		state.leaving = now
	}
}

function servesWork(record: TargetRecord, work: Work): boolean {
	const served = work.kind === 'model' ? work.model : work.service
	const kind = work.kind === 'model' ? 'engine' : 'service'
	return record.kind === kind && record.serves.includes(served)
}
