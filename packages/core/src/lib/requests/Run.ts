import type { AccountName, BudgetName, CallId, RequestId, TargetName } from '../ids.js'
import type { Priority } from '../bundle/Bundle.js'
import type { Amount, Millis } from '../units.js'
import type { CallerRequest, Work } from '../router/CoreEvent.js'

/**
 * Stages of a run at the box that owns it.
 * - `admitting`: waits for a settled view, money, the witness and a target.
 * - `running`: an attempt is in flight.
 * - `settling`: the answer is whole, its bill is on the way to the witness.
 * - `done`: the answer is kept for second tries.
 * - `failed`: ended without a whole answer; kept so that late events are told apart.
 * @public
 */
export type RunStage = 'admitting' | 'running' | 'settling' | 'done' | 'failed'

/** One request at the box that runs it. @public */
export interface Run {
	readonly id: RequestId
	readonly account: AccountName
	readonly budget: BudgetName
	readonly bodyHash: string
	readonly work: Work
	readonly priority: Priority
	readonly repeatable: boolean
	/** True where this box made the key: nobody else has seen it before the answer begins. */
	readonly hasMintedKey: boolean
	readonly deadline: Millis
	readonly startedAt: Millis
	/** Worst-case charge. */
	readonly maxCharge: Amount
	readonly maxOutputTokens: number
	stage: RunStage
	/** The call whose body is sent; the shell holds it until the run ends. */
	readonly firstCallId: CallId
	/** Callers that wait for the answer, with what each sent. */
	readonly callers: Map<CallId, CallerRequest>
	/** True once the shell keeps an answer for the run. */
	isAttached: boolean
	isReserved: boolean
	/** Log ticket that must be acknowledged before the next step; 0 for none. */
	logPosition: number
	/** True while the reservation counts as drawn towards the watermark. */
	isCommitted: boolean
	attempt: number
	/** Target that the claim names; a slot there is held from then on. */
	target: TargetName | undefined
	/** Set where an earlier run is resumed instead of running again. */
	resumeTarget: TargetName | undefined
	/** Number of this claim of the request. */
	readonly turn: number
	/** What earlier runs of this request were billed; only the difference is billed now. */
	readonly previouslyBilled: Amount
	/** True while an attempt is out, or has ended in a way that does not say whether it ran. */
	mayHaveRun: boolean
	/** The same of the attempts before the one that is out, and of other boxes' tries. */
	mayHaveRunEarlier: boolean
	charge: Amount
	endedAt: Millis
	waitingFor: WaitReason | undefined
	/** Time since which it waits for the present reason. */
	waitingSince: Millis
	/** Targets that this run has tried. */
	readonly triedTargets: Set<TargetName>
	isCancelling: boolean
}

/** What a run waits for. @public */
export type WaitReason = 'view' | 'money' | 'witness' | 'target'
