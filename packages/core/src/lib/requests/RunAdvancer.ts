import type { IdentityController } from '../controllers/IdentityController.js'
import type { MoneyController } from '../controllers/MoneyController.js'
import type { TargetController } from '../controllers/TargetController.js'
import type { BudgetName, TargetName } from '../ids.js'
import type { IdentityState } from '../identity/IdentityRecord.js'
import { assertInvariant } from '../InvariantViolation.js'
import { maybeRun, notRun, type RefusalType } from '../Refusal.js'
import { isSettled } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import { SECOND_MS, type Amount, type Millis } from '../units.js'
import type { Run, WaitReason } from './Run.js'
import type { RunStore } from './RunStore.js'

/** Switches for experiments and for showing that tests catch a missing protection. @public */
export interface RequestProtections {
	/** Wait until the witness has the claim of a request that may not be repeated. */
	readonly claims: boolean
	/** Hold the last bytes until the witness has the bill. */
	readonly billBeforeAnswer: boolean
	/** Refuse keys whose records may have been lost. */
	readonly forgotten: boolean
	/** Drop events of attempts that were given up. */
	readonly attemptNumbers: boolean
}

/** All protections on. @public */
export const ALL_REQUEST_PROTECTIONS: RequestProtections = {
	claims: true,
	billBeforeAnswer: true,
	forgotten: true,
	attemptNumbers: true,
}

const COME_BACK_MS: Millis = SECOND_MS

/** What the steps of a run need. */
export interface RunParts {
	readonly context: CoreContext
	readonly store: RunStore
	readonly identity: IdentityController
	readonly money: MoneyController
	readonly targets: TargetController
	readonly protections: RequestProtections
}

/**
 * Takes waiting runs through admission: a settled view, money, the witness's leave to draw, a
 * target, the witness's note of the claim. Nothing has left for a target before the last step.
 */
export class RunAdvancer {
	constructor(private readonly parts: RunParts) {}

	/** Moves every waiting run as far as it can go now. */
	advanceAll(): void {
		const { store, money } = this.parts
		if (!store.queue.isEmpty()) {
			for (const run of store.queue.ordered(store.running)) this.advance(run)
		}
		money.setShortages(this.shortages())
	}

	/** Writes the identity record of a run. */
	record(run: Run, state: IdentityState, amount: Amount): number {
		const { context, identity } = this.parts
		const { box, incarnation } = context.self
		const target = run.target
		return identity.write({
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

	/** Ends a waiting run and frees its money. It is called not run only if no earlier try was. */
	refuse(run: Run, type: RefusalType, message: string, retryAfterMs?: Millis): void {
		this.release(run)
		const refusal = run.mayHaveRun ? maybeRun : notRun
		this.parts.store.fail(run, refusal(type, message, retryAfterMs))
	}

	/** Ends the reservation of a run with its charge; the rest is free at once. */
	settle(run: Run, charge: Amount): void {
		this.parts.money.settle(run.budget, run.worst, charge, run.committed)
		run.reserved = false
		run.committed = false
	}

	/** Frees what a run holds: its reservation and its slot at a target. */
	release(run: Run): void {
		const { targets } = this.parts
		if (run.reserved) this.settle(run, 0)
		if (run.target !== undefined && run.stage === 'admitting') {
			if (!run.mayHaveRun && run.ticket > 0) this.record(run, 'void', run.priorBilled)
			targets.ended(run.target, false)
			run.target = undefined
		}
	}

	private advance(run: Run): void {
		if (run.stage !== 'admitting') return
		if (this.parts.context.now >= run.deadline) {
			this.refuse(run, 'deadline', `waited for ${run.waitingFor ?? 'admission'}`, COME_BACK_MS)
			return
		}
		if (!this.hasView(run)) return
		if (!this.hasTargetAtAll(run)) return
		if (!this.hasMoney(run)) return
		if (!this.hasCover(run)) return
		if (!this.hasTarget(run)) return
		if (!this.hasClaim(run)) return
		this.start(run)
	}

	private hasView(run: Run): boolean {
		const { context } = this.parts
		if (isSettled(context.board, context.self)) return true
		this.wait(run, 'view')
		if (this.waited(run) > context.self.timing.securityWait)
			this.refuse(run, 'not-ready', 'the zone is changing its members', COME_BACK_MS)
		return false
	}

	private hasTargetAtAll(run: Run): boolean {
		if (run.resumeAt !== undefined || this.parts.targets.serves(run.work)) return true
		this.refuse(run, 'no-target', 'no target of this zone serves it', COME_BACK_MS)
		return false
	}

	private hasMoney(run: Run): boolean {
		const { money, context } = this.parts
		if (run.reserved) return true
		if (money.reserve(run.budget, run.worst)) {
			run.reserved = true
			return true
		}
		this.wait(run, 'money')
		const late = this.waited(run) > context.self.timing.moneyWait
		if (late || money.isExhausted(run.budget)) this.refuseForMoney(run)
		return false
	}

	private refuseForMoney(run: Run): void {
		const { platformUp } = this.parts.context.board.members
		if (platformUp) this.refuse(run, 'budget-exhausted', 'the budget has too little left')
		else this.refuse(run, 'budget-exhausted', 'no money in reach of this zone', COME_BACK_MS)
	}

	private hasCover(run: Run): boolean {
		const { money, identity } = this.parts
		if (run.committed) return true
		if (money.commit(run.budget, run.worst)) {
			run.committed = true
			run.ticket = 0
			return true
		}
		if (run.ticket === 0 || identity.log.isSafe(run.ticket))
			run.ticket = money.cover(run.budget, run.worst)
		this.waitForWitness(run)
		return false
	}

	private hasTarget(run: Run): boolean {
		if (run.target !== undefined) return true
		const { targets, context } = this.parts
		const chosen = run.resumeAt ?? this.choose(run)
		if (chosen === undefined) {
			this.wait(run, 'target')
			return false
		}
		run.target = chosen
		targets.started(chosen)
		// A repeatable run of a key that nobody else knows yet needs no claim; its bill is recorded.
		const bare = run.minted && run.repeatable
		run.ticket = bare ? 0 : this.record(run, 'claimed', run.priorBilled)
		if (run.resumeAt !== undefined)
			context.log('request-resumed', { request: run.id, target: chosen })
		return true
	}

	private choose(run: Run): TargetName | undefined {
		return this.parts.targets.choose(run)?.record.name
	}

	private hasClaim(run: Run): boolean {
		if (run.repeatable || !this.parts.protections.claims) return true
		if (this.parts.identity.log.isSafe(run.ticket)) return true
		this.waitForWitness(run)
		return false
	}

	private start(run: Run): void {
		const { context, store } = this.parts
		const record = context.board.targets.states.get(run.target as TargetName)?.record
		if (!record || run.target === undefined) {
			this.refuse(run, 'no-target', 'the target has left', COME_BACK_MS)
			return
		}
		const resume = run.resumeAt !== undefined
		assertInvariant(run.repeatable || resume || !run.mayHaveRun, 'run-at-most-once', {
			request: run.id,
		})
		run.stage = 'running'
		run.attempt++
		run.mayHaveRun = true
		run.tried.add(run.target)
		store.queue.remove(run.id)
		store.countRunning(run, 1)
		store.attach(run)
		context.emit({
			kind: 'start-attempt',
			runId: run.id,
			attempt: run.attempt,
			callId: run.firstCall,
			target: run.target,
			url: record.url,
			resume,
			priority: run.priority,
			maxOutputTokens: run.maxOutputTokens,
		})
	}

	private waitForWitness(run: Run): void {
		this.wait(run, 'witness')
		if (this.waited(run) <= this.parts.context.self.timing.securityWait) return
		this.refuse(run, 'witness-unreachable', 'no other box of the zone can vouch', COME_BACK_MS)
	}

	private wait(run: Run, reason: WaitReason): void {
		if (run.waitingFor === reason) return
		run.waitingFor = reason
		run.waitingSince = this.parts.context.now
		if (reason !== 'witness') this.parts.context.log('request-queued', { request: run.id, reason })
	}

	private waited(run: Run): Millis {
		return this.parts.context.now - run.waitingSince
	}

	/** The largest request of each budget that waits for money. */
	private shortages(): Map<BudgetName, Amount> {
		const needs = new Map<BudgetName, Amount>()
		for (const run of this.parts.store.queue.runs()) {
			if (run.waitingFor !== 'money' || run.reserved) continue
			needs.set(run.budget, Math.max(run.worst, needs.get(run.budget) ?? 0))
		}
		return needs
	}
}
