import type { BundleIndex } from '../bundle/BundleIndex.js'
import type { BoxName, BudgetName, RequestId, TargetName, ZoneName } from '../ids.js'
import type { IdempotencyRecord } from '../identity/IdempotencyRecord.js'
import { EMPTY_VIEW, type Member, type ZoneView } from '../membership/ZoneView.js'
import { SliceLedger } from '../money/SliceLedger.js'
import type { TargetState } from '../routing/TargetState.js'
import type { Amount, Millis } from '../units.js'
import type { Run } from '../requests/Run.js'
import type { BoxConfig } from './BoxConfig.js'
import type { ZoneMembers } from './PeerMessage.js'

/** Bundle in force. Written by `ConfigController`. @public */
export interface ConfigSection {
	index: BundleIndex | undefined
	/** Highest version that another box or the platform has announced. */
	highestKnownVersion: number
}

/** Membership of the zone and of other zones. Written by `MembershipController`. @public */
export interface MembersSection {
	view: ZoneView
	leader: Member | undefined
	term: number
	zones: Map<ZoneName, ZoneMembers>
	isPlatformUp: boolean
	/** True from the start of a planned stop. */
	isStopping: boolean
	/** Time at which the leader was last known to be alive, in Unix ms. */
	leaderSeenAt: Millis
}

/** Budget slices of this box. Written by `SliceController`. @public */
export interface SliceSection {
	readonly ledger: SliceLedger
	/** Smoothed demand, in budget tokens per second. */
	readonly demandPerSecond: Map<BudgetName, Amount>
	/** Budgets that are exhausted according to the zone leader, and the time until which this is assumed. */
	readonly zoneExhaustedUntil: Map<BudgetName, Millis>
}

/** Idempotency records of this box. Written by `IdempotencyController`. @public */
export interface IdempotencySection {
	readonly records: Map<RequestId, IdempotencyRecord>
	/** True once all records of the keys of this box have arrived. */
	hasAllRecords: boolean
}

/** Targets of the zone and their load. Written by `TargetController`. @public */
export interface TargetsSection {
	readonly states: Map<TargetName, TargetState>
}

/** Runs of this box. Written by `RequestController`. @public */
export interface RequestsSection {
	readonly runs: Map<RequestId, Run>
}

/** Roles that this box holds. Written by `MembershipController`. @public */
export interface RolesSection {
	isLeader: boolean
}

type ReadonlySection<T> = {
	readonly [K in keyof T]: T[K] extends Map<infer A, infer B> ? ReadonlyMap<A, B> : T[K]
}

/**
 * Read-only view of the state of a router, in sections. Each section is written by one controller, and every controller
 * may read all sections.
 * @public
 */
export interface BlackboardView {
	readonly config: ReadonlySection<ConfigSection>
	readonly members: ReadonlySection<MembersSection>
	readonly slices: ReadonlySection<SliceSection>
	readonly idempotency: ReadonlySection<IdempotencySection>
	readonly targets: ReadonlySection<TargetsSection>
	readonly requests: ReadonlySection<RequestsSection>
	readonly roles: ReadonlySection<RolesSection>
}

/** State of a router, in sections. `RouterCore` gives each controller the section that it writes. @public */
export interface Blackboard {
	readonly config: ConfigSection
	readonly members: MembersSection
	readonly slices: SliceSection
	readonly idempotency: IdempotencySection
	readonly targets: TargetsSection
	readonly requests: RequestsSection
	readonly roles: RolesSection
}

/** Creates the initial state of a router. @public */
export function createBlackboard(): Blackboard {
	return {
		config: { index: undefined, highestKnownVersion: 0 },
		members: {
			view: EMPTY_VIEW,
			leader: undefined,
			term: 0,
			zones: new Map(),
			isPlatformUp: true,
			isStopping: false,
			leaderSeenAt: 0,
		},
		slices: {
			ledger: new SliceLedger(),
			demandPerSecond: new Map(),
			zoneExhaustedUntil: new Map(),
		},
		idempotency: { records: new Map(), hasAllRecords: false },
		targets: { states: new Map() },
		requests: { runs: new Map() },
		roles: { isLeader: false },
	}
}

/** True if this box is a member and holds the records of all its keys. @public */
export function isServingMember(blackboard: BlackboardView, self: BoxConfig): boolean {
	return blackboard.idempotency.hasAllRecords && isMember(blackboard, self.box, self.incarnation)
}

/** True if an incarnation of a box is a member of the zone's view. @public */
export function isMember(blackboard: BlackboardView, box: BoxName, incarnation: string): boolean {
	return blackboard.members.view.members.some(
		(member) => member.box === box && member.incarnation === incarnation,
	)
}
