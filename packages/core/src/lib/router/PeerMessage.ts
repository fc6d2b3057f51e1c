import type { BoxName, BudgetName, Incarnation, TargetName, ZoneName } from '../ids.js'
import type { IdempotencyRecord, RecordLoss } from '../identity/IdempotencyRecord.js'
import type { ReplicationBatch } from '../identity/BoxReplica.js'
import type { Member, ZoneView } from '../membership/ZoneView.js'
import type { SliceCounters } from '../money/SliceLedger.js'
import type { ReplicaReport } from '../money/ZoneLedger.js'
import type { Amount } from '../units.js'
import type { LoadReport } from './LoadReport.js'

/** Request of a box to the zone leader for tokens of one budget, with its counters. @public */
export interface GrantRequestRow {
	readonly budget: BudgetName
	/** Tokens wanted beyond the amount granted so far. */
	readonly want: Amount
	/** The part of `want` that waiting requests need. Idle tokens of other boxes are recalled only for this part. */
	readonly need: Amount
	readonly counters: SliceCounters
}

/** Grant of the zone leader for one budget, with the counters of the box in the ledger. @public */
export interface GrantRow {
	readonly budget: BudgetName
	/** Total amount granted. */
	readonly granted: Amount
	/** Amount returned by the box, according to the ledger. */
	readonly returned: Amount
	/** Amount billed by the box, according to the ledger. */
	readonly billed: Amount
	/** True if neither this zone nor the other zones can provide more tokens now. */
	readonly dry: boolean
}

/** Amount of idle tokens that the zone leader recalls. @public */
export interface RecallRow {
	readonly budget: BudgetName
	readonly amount: Amount
}

/** Members of another zone, as last read by the zone leader. @public */
export interface ZoneMembers {
	readonly zone: ZoneName
	readonly view: number
	readonly members: readonly Member[]
}

/** Messages between the boxes of a zone. @public */
export type PeerMessage =
	/** Box to zone leader: liveness and state of the box. */
	| {
			readonly kind: 'heartbeat'
			readonly member: Member
			readonly view: number
			readonly bundleVersion: number
			/** True once a stopping box has finished all its work and may be removed from the view. */
			readonly drained: boolean
	  }
	/** Zone leader to box: state of the zone. */
	| {
			readonly kind: 'digest'
			/** Absent if the receiver already has it. */
			readonly view?: ZoneView
			readonly keeper: Member
			/** Platform revision at which the leader was elected. Digests of lower terms are ignored. */
			readonly term: number
			/** True if the leader resigns, so that another box may take over immediately. */
			readonly resigned: boolean
			readonly platformUp: boolean
			readonly bundleVersion: number
			/** All other zones, if any changed since the last digest to the receiver; otherwise empty. */
			readonly zones: readonly ZoneMembers[]
			/** Load reports received since the last digest. */
			readonly reports: readonly LoadReport[]
			/** Targets that are leaving according to the list on the platform. */
			readonly leavingTargets: readonly TargetName[]
	  }
	/** Box to the holder of its replica: a batch of changes. */
	| { readonly kind: 'log'; readonly batch: ReplicationBatch }
	/** Acknowledges a batch. */
	| {
			readonly kind: 'log-ack'
			readonly incarnation: Incarnation
			readonly view: number
			readonly seq: number
	  }
	/** Reply to a batch of an incarnation that is not a member of the current view. */
	| { readonly kind: 'fenced'; readonly incarnation: Incarnation; readonly view: ZoneView }
	/** Box to zone leader: requests for tokens and counters. */
	| {
			readonly kind: 'ask'
			readonly incarnation: Incarnation
			readonly rows: readonly GrantRequestRow[]
	  }
	/** Zone leader to box: grants. */
	| {
			readonly kind: 'grant'
			readonly incarnation: Incarnation
			readonly rows: readonly GrantRow[]
	  }
	/** Zone leader to box: idle tokens to return. */
	| { readonly kind: 'recall'; readonly rows: readonly RecallRow[] }
	/** Holder of a replica to zone leader: bounds on what a removed incarnation has drawn. */
	| {
			readonly kind: 'testimony'
			readonly box: BoxName
			readonly incarnation: Incarnation
			readonly rows: readonly { readonly budget: BudgetName; readonly testimony: ReplicaReport }[]
	  }
	/** Zone leader to holder of a replica: its report is in the ledger. */
	| { readonly kind: 'testimony-ack'; readonly box: BoxName; readonly incarnation: Incarnation }
	/** New incarnation to zone leader: final counters of its fenced predecessor. */
	| {
			readonly kind: 'confess'
			readonly box: BoxName
			readonly incarnation: Incarnation
			readonly rows: readonly GrantRequestRow[]
	  }
	/** Zone leader to new incarnation: the final counters are in the ledger. */
	| { readonly kind: 'confess-ack'; readonly incarnation: Incarnation }
	/** Box to box: request for tokens that the zone leader cannot grant. */
	| {
			readonly kind: 'transfer-ask'
			readonly incarnation: Incarnation
			readonly budget: BudgetName
			readonly amount: Amount
	  }
	/** Box to box: total amount transferred to the receiver. */
	| {
			readonly kind: 'transfer'
			readonly incarnation: Incarnation
			readonly to: Incarnation
			readonly budget: BudgetName
			readonly cumulative: Amount
	  }
	/** Previous holder of records to the new owner of their keys. */
	| {
			readonly kind: 'handoff'
			readonly view: number
			/** Box that owned the keys of the records: the sender, or a box whose replica it held. */
			readonly source: BoxName
			readonly records: readonly IdempotencyRecord[]
			readonly losses: readonly RecordLoss[]
	  }
	| { readonly kind: 'handoff-ack'; readonly view: number; readonly source: BoxName }

/** Final counters of a fenced incarnation. @public */
export type FinalCountersMessage = Extract<PeerMessage, { kind: 'confess' }>
