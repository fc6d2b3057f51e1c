import type { IdempotencyController } from '../controllers/IdempotencyController.js'
import type { SliceController } from '../controllers/SliceController.js'
import type { TargetController } from '../controllers/TargetController.js'
import type { BudgetName, TargetName } from '../ids.js'
import type { IdempotencyState } from '../identity/IdempotencyRecord.js'
import { assertInvariant } from '../InvariantViolation.js'
import { maybeRun, notRun, type RefusalType } from '../Refusal.js'
import { isServingMember } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'
import type { Run, WaitReason } from './Run.js'
import type { RunStore } from './RunStore.js'

/** Protections that a test or an experiment can switch off. @public */
export interface RequestProtections {
	/** Start a request that must not be repeated only after its claim is replicated. */
	readonly claims: boolean
	/** Withhold the last bytes of an answer until its bill is replicated. */
	readonly billBeforeAnswer: boolean
	/** Refuse requests whose records may have been lost. */
	readonly forgotten: boolean
	/** Ignore events of earlier attempts. */
	readonly attemptNumbers: boolean
}

/** Enables all protections. @public */
export const ALL_REQUEST_PROTECTIONS: RequestProtections = {
	claims: true,
	billBeforeAnswer: true,
	forgotten: true,
	attemptNumbers: true,
}

const RETRY_AFTER_MS: Millis = SECOND_MS

/** Dependencies of the classes that process a run. */
export interface RunDependencies {
	readonly context: CoreContext
	readonly store: RunStore
	readonly idempotency: IdempotencyController
	readonly slices: SliceController
	readonly targets: TargetController
	readonly protections: RequestProtections
}

/**
 * Admits waiting runs in steps: complete idempotency records, a reservation, a watermark that covers it, a target and a
 * replicated claim. Nothing is sent to a target before the last step.
 */
export class RunAdmission {
	constructor(private readonly dependencies: RunDependencies) {}

	/** Advances every waiting run as far as possible. */
	advanceAll(): void {
		const { store, slices } = this.dependencies
		if (!store.queue.isEmpty()) {
			for (const run of store.queue.inOrder(store.runningByAccount)) this.advance(run)
		}
		slices.setShortages(this.shortages())
	}

	/** Writes the idempotency record of a run. Returns its position in the replication log. */
	writeRecord(run: Run, state: IdempotencyState, amount: Amount): number {
		const { context, idempotency } = this.dependencies
		const { box, incarnation } = context.self
		const target = run.target
		return idempotency.write({
			id: run.id,
			bodyHash: run.bodyHash,
			repeatable: run.repeatable,
			turn: run.turn,
			state,
			box,
			incarnation,
			...(target === undefined ? {} : { target }),
			budget: run.budget,
			amount,
			at: context.now,
		})
	}

	/** Refuses a waiting run and releases what it holds. Reports it as not run only if no attempt may have run. */
	refuse(run: Run, type: RefusalType, message: string, retryAfterMs?: Millis): void {
		this.release(run)
		const createRefusal = run.mayHaveRun ? maybeRun : notRun
		this.dependencies.store.fail(run, createRefusal(type, message, retryAfterMs))
	}

	/** Replaces the reservation of a run by its charge and releases the rest. */
	settle(run: Run, charge: Amount): void {
		this.dependencies.slices.settle(run.budget, run.maxCharge, charge, run.isCommitted)
		run.isReserved = false
		run.isCommitted = false
	}

	/** Releases the reservation of a run and its slot at a target. */
	release(run: Run): void {
		const { targets } = this.dependencies
		if (run.isReserved) this.settle(run, 0)
		if (run.target !== undefined && run.stage === 'admitting') {
			if (!run.mayHaveRun && run.logPosition > 0)
				this.writeRecord(run, 'void', run.previouslyBilled)
			targets.onAttemptEnded(run.target, false)
			run.target = undefined
		}
	}

	private advance(run: Run): void {
		if (run.stage !== 'admitting') return
		if (this.dependencies.context.now >= run.deadline) {
			this.refuse(run, 'deadline', `waited for ${run.waitingFor ?? 'admission'}`, RETRY_AFTER_MS)
			return
		}
		if (!this.ensureRecords(run)) return
		if (!this.ensureServed(run)) return
		if (!this.ensureReservation(run)) return
		if (!this.ensureCommitted(run)) return
		if (!this.ensureTarget(run)) return
		if (!this.ensureClaim(run)) return
		this.startAttempt(run)
	}

	private ensureRecords(run: Run): boolean {
		const { context } = this.dependencies
		if (isServingMember(context.blackboard, context.self)) return true
		this.setWaitReason(run, 'view')
		if (this.waitedMs(run) > context.self.timing.maxReplicationWaitMs)
			this.refuse(run, 'not-ready', 'the zone is changing its members', RETRY_AFTER_MS)
		return false
	}

	private ensureServed(run: Run): boolean {
		if (run.resumeTarget !== undefined || this.dependencies.targets.hasTargetFor(run.work))
			return true
		this.refuse(run, 'no-target', 'no target of this zone serves it', RETRY_AFTER_MS)
		return false
	}

	private ensureReservation(run: Run): boolean {
		const { slices, context } = this.dependencies
		if (run.isReserved) return true
		if (slices.reserve(run.budget, run.maxCharge)) {
			run.isReserved = true
			return true
		}
		this.setWaitReason(run, 'money')
		const isOverdue = this.waitedMs(run) > context.self.timing.maxBudgetWaitMs
		if (isOverdue || slices.isExhausted(run.budget)) this.refuseForBudget(run)
		return false
	}

	private refuseForBudget(run: Run): void {
		const { isPlatformUp } = this.dependencies.context.blackboard.members
		if (isPlatformUp) this.refuse(run, 'budget-exhausted', 'the budget has too little left')
		else this.refuse(run, 'budget-exhausted', 'no money in reach of this zone', RETRY_AFTER_MS)
	}

	private ensureCommitted(run: Run): boolean {
		const { slices, idempotency } = this.dependencies
		if (run.isCommitted) return true
		if (slices.commit(run.budget, run.maxCharge)) {
			run.isCommitted = true
			run.logPosition = 0
			return true
		}
		if (run.logPosition === 0 || idempotency.replicationLog.isDurable(run.logPosition))
			run.logPosition = slices.requestWatermark(run.budget, run.maxCharge)
		this.waitForReplica(run)
		return false
	}

	private ensureTarget(run: Run): boolean {
		if (run.target !== undefined) return true
		const { targets, context } = this.dependencies
		const target = run.resumeTarget ?? this.chooseTarget(run)
		if (target === undefined) {
			this.setWaitReason(run, 'target')
			return false
		}
		run.target = target
		targets.onAttemptStarted(target)
		// A repeatable run whose key only this box knows needs no claim. Its bill is recorded.
		const needsNoClaim = run.hasMintedKey && run.repeatable
		run.logPosition = needsNoClaim ? 0 : this.writeRecord(run, 'claimed', run.previouslyBilled)
		if (run.resumeTarget !== undefined) context.log('request-resumed', { request: run.id, target })
		return true
	}

	private chooseTarget(run: Run): TargetName | undefined {
		return this.dependencies.targets.chooseTarget(run)?.record.name
	}

	private ensureClaim(run: Run): boolean {
		if (run.repeatable || !this.dependencies.protections.claims) return true
		if (this.dependencies.idempotency.replicationLog.isDurable(run.logPosition)) return true
		this.waitForReplica(run)
		return false
	}

	private startAttempt(run: Run): void {
		const { context, store } = this.dependencies
		const record = context.blackboard.targets.states.get(run.target as TargetName)?.record
		if (!record || run.target === undefined) {
			this.refuse(run, 'no-target', 'the target has left', RETRY_AFTER_MS)
			return
		}
		const isResume = run.resumeTarget !== undefined
		assertInvariant(run.repeatable || isResume || !run.mayHaveRun, 'run-at-most-once', {
			request: run.id,
		})
		run.stage = 'running'
		run.attempt++
		run.mayHaveRun = true
		run.triedTargets.add(run.target)
		store.queue.remove(run.id)
		store.countRunning(run, 1)
		store.attachCallers(run)
		context.emit({
			kind: 'start-attempt',
			runId: run.id,
			attempt: run.attempt,
			callId: run.firstCallId,
			target: run.target,
			url: record.url,
			resume: isResume,
			priority: run.priority,
			maxOutputTokens: run.maxOutputTokens,
		})
	}

	private waitForReplica(run: Run): void {
		this.setWaitReason(run, 'witness')
		if (this.waitedMs(run) <= this.dependencies.context.self.timing.maxReplicationWaitMs) return
		this.refuse(run, 'witness-unreachable', 'no other box of the zone can vouch', RETRY_AFTER_MS)
	}

	private setWaitReason(run: Run, reason: WaitReason): void {
		if (run.waitingFor === reason) return
		run.waitingFor = reason
		run.waitingSince = this.dependencies.context.now
		if (reason !== 'witness')
			this.dependencies.context.log('request-queued', { request: run.id, reason })
	}

	private waitedMs(run: Run): Millis {
		return this.dependencies.context.now - run.waitingSince
	}

	/** The largest charge that waits for tokens, for each budget. */
	private shortages(): Map<BudgetName, Amount> {
		const needs = new Map<BudgetName, Amount>()
		for (const run of this.dependencies.store.queue.runs()) {
			if (run.waitingFor !== 'money' || run.isReserved) continue
			needs.set(run.budget, Math.max(run.maxCharge, needs.get(run.budget) ?? 0))
		}
		return needs
	}
}
