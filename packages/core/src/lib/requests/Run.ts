import type { AccountName, BudgetName, CallId, RequestId, TargetName } from '../ids.js'
import type { Priority } from '../bundle/Bundle.js'
import type { Amount, Millis } from '../units.js'
import type { CallerRequest, Work } from '../router/CoreEvent.js'

/**
 * Stages of a run at the box that owns it.
 * - `admitting`: waits for idempotency records, budget tokens, replication and a target.
 * - `running`: an attempt is in flight.
 * - `settling`: the answer is complete, and its bill is being replicated.
 * - `done`: the answer is kept for repeated requests.
 * - `failed`: ended without a complete answer.
 * @public
 */
export type RunStage = 'admitting' | 'running' | 'settling' | 'done' | 'failed'

/** A request at the box that runs it. @public */
export interface Run {
	readonly id: RequestId
	readonly account: AccountName
	readonly budget: BudgetName
	readonly bodyHash: string
	readonly work: Work
	readonly priority: Priority
	readonly repeatable: boolean
	/** True if this box created the key, so that only this box knows it until the answer starts. */
	readonly hasMintedKey: boolean
	readonly deadline: Millis
	readonly startedAt: Millis
	/** Maximum charge, which is reserved. */
	readonly maxCharge: Amount
	readonly maxOutputTokens: number
	stage: RunStage
	/** The call whose body is sent. The shell keeps it until the run ends. */
	readonly firstCallId: CallId
	/** Calls that wait for the answer, with their requests. */
	readonly callers: Map<CallId, CallerRequest>
	/** True once the calls are attached to an answer in the shell. */
	isAttached: boolean
	isReserved: boolean
	/** Position in the replication log that must be durable before the next step; 0 for none. */
	logPosition: number
	/** True while the reservation counts towards the watermark. */
	isCommitted: boolean
	attempt: number
	/** Target of the claim, at which the run occupies a slot. */
	target: TargetName | undefined
	/** Target at which the answer of an earlier run is resumed; undefined for a new run. */
	resumeTarget: TargetName | undefined
	/** Number of this claim in the idempotency record. */
	readonly turn: number
	/** Amount billed for earlier runs of the request. This run bills only the difference. */
	readonly previouslyBilled: Amount
	/** True if an attempt is in flight, or any attempt may have run. */
	mayHaveRun: boolean
	/** True if an attempt before the current one, here or at another box, may have run. */
	mayHaveRunEarlier: boolean
	charge: Amount
	endedAt: Millis
	waitingFor: WaitReason | undefined
	/** Start of the wait for `waitingFor`, in Unix ms. */
	waitingSince: Millis
	readonly triedTargets: Set<TargetName>
	isCancelling: boolean
}

/** What a run waits for before it starts. @public */
export type WaitReason = 'view' | 'money' | 'witness' | 'target'
