import type { BoxName, BudgetName, Incarnation, TargetName, ZoneName } from '../ids.js'
import type { IdempotencyRecord, RecordLoss } from '../identity/IdempotencyRecord.js'
import type { ReplicationBatch } from '../identity/BoxReplica.js'
import type { Member, ZoneView } from '../membership/ZoneView.js'
import type { SliceCounters } from '../money/SliceLedger.js'
import type { ReplicaReport } from '../money/ZoneLedger.js'
import type { Amount } from '../units.js'
import type { LoadReport } from './LoadReport.js'

/** One budget's line in an ask to the keeper. @public */
export interface GrantRequestRow {
	readonly budget: BudgetName
	/** Money wanted beyond what was granted so far, to cover the horizon. */
	readonly want: Amount
	/** The part of it that waiting requests lack. Only for this is idle money recalled elsewhere. */
	readonly need: Amount
	readonly counters: SliceCounters
}

/** One budget's line in the keeper's answer. @public */
export interface GrantRow {
	readonly budget: BudgetName
	/** Cumulative grant. */
	readonly granted: Amount
	/** What the ledger has noted as returned and as billed by this box. */
	readonly returned: Amount
	readonly billed: Amount
	/** True where neither the zone nor the other zones can give more now. */
	readonly dry: boolean
}

/** Idle money that the keeper wants back. @public */
export interface RecallRow {
	readonly budget: BudgetName
	readonly amount: Amount
}

/** Members of another zone, as the keeper last read them. @public */
export interface ZoneMembers {
	readonly zone: ZoneName
	readonly view: number
	readonly members: readonly Member[]
}

/** Everything that boxes of a zone say to each other. @public */
export type PeerMessage =
	/** Box to keeper: I am alive. */
	| {
			readonly kind: 'heartbeat'
			readonly member: Member
			readonly view: number
			readonly bundleVersion: number
			/** True once a planned stop has nothing left to finish: the box may be dropped. */
			readonly drained: boolean
	  }
	/** Keeper to box: what the zone is. */
	| {
			readonly kind: 'digest'
			/** Absent where the receiver holds it already. */
			readonly view?: ZoneView
			readonly keeper: Member
			/** Revision at which the keeper took its lease; the higher term wins. */
			readonly term: number
			/** True where the keeper gives its role up: the next one may take it at once. */
			readonly resigned: boolean
			readonly platformUp: boolean
			readonly bundleVersion: number
			/** Other zones; only those that changed since the last digest to the receiver. */
			readonly zones: readonly ZoneMembers[]
			/** Load reports that came in since the last digest. */
			readonly reports: readonly LoadReport[]
			/** Targets that the platform's list calls leaving. */
			readonly leavingTargets: readonly TargetName[]
	  }
	/** Owner to witness. */
	| { readonly kind: 'log'; readonly batch: ReplicationBatch }
	/** Witness to owner. */
	| {
			readonly kind: 'log-ack'
			readonly incarnation: Incarnation
			readonly view: number
			readonly seq: number
	  }
	/** Witness to owner: your incarnation is no member of the current view. */
	| { readonly kind: 'fenced'; readonly incarnation: Incarnation; readonly view: ZoneView }
	/** Box to keeper. */
	| {
			readonly kind: 'ask'
			readonly incarnation: Incarnation
			readonly rows: readonly GrantRequestRow[]
	  }
	/** Keeper to box. */
	| {
			readonly kind: 'grant'
			readonly incarnation: Incarnation
			readonly rows: readonly GrantRow[]
	  }
	/** Keeper to box: give idle money of these budgets back. */
	| { readonly kind: 'recall'; readonly rows: readonly RecallRow[] }
	/** Witness to keeper: what an incarnation that is gone may have drawn. */
	| {
			readonly kind: 'testimony'
			readonly box: BoxName
			readonly incarnation: Incarnation
			readonly rows: readonly { readonly budget: BudgetName; readonly testimony: ReplicaReport }[]
	  }
	/** Keeper to witness: the testimony is in the ledger. */
	| { readonly kind: 'testimony-ack'; readonly box: BoxName; readonly incarnation: Incarnation }
	/** A returned incarnation to the keeper: I drew no more than what was billed. */
	| {
			readonly kind: 'confess'
			readonly box: BoxName
			readonly incarnation: Incarnation
			readonly rows: readonly GrantRequestRow[]
	  }
	/** Keeper to the new incarnation: the confession is in the ledger. */
	| { readonly kind: 'confess-ack'; readonly incarnation: Incarnation }
	/** Box to box: I lack money and the platform cannot be reached. */
	| {
			readonly kind: 'transfer-ask'
			readonly incarnation: Incarnation
			readonly budget: BudgetName
			readonly amount: Amount
	  }
	/** Box to box: cumulative amount sent to you. */
	| {
			readonly kind: 'transfer'
			readonly incarnation: Incarnation
			readonly to: Incarnation
			readonly budget: BudgetName
			readonly cumulative: Amount
	  }
	/** Old holder of records to the new owner. */
	| {
			readonly kind: 'handoff'
			readonly view: number
			/** The box whose records these are: the sender, or the one it was witness of. */
			readonly source: BoxName
			readonly records: readonly IdempotencyRecord[]
			readonly losses: readonly RecordLoss[]
	  }
	| { readonly kind: 'handoff-ack'; readonly view: number; readonly source: BoxName }

/** The last word of an incarnation that was fenced off. @public */
export type FinalCountersMessage = Extract<PeerMessage, { kind: 'confess' }>
