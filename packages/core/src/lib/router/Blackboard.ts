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

/** Configuration in force. Written by `ConfigController`. @public */
export interface ConfigSection {
	index: BundleIndex | undefined
	/** Highest version that any peer or the platform has named. */
	highestKnownVersion: number
}

/** The zone and its boxes. Written by `MembershipController`. @public */
export interface MembersSection {
	view: ZoneView
	leader: Member | undefined
	term: number
	zones: Map<ZoneName, ZoneMembers>
	isPlatformUp: boolean
	/** True from the start of a planned stop. */
	isStopping: boolean
	/** Time of the last sign of life of the keeper. */
	leaderSeenAt: Millis
}

/** This box's money. Written by `MoneyController`. @public */
export interface SliceSection {
	readonly ledger: SliceLedger
	/** Smoothed demand in budget tokens per second. */
	readonly demandPerSecond: Map<BudgetName, Amount>
	/** Budgets that the keeper called dry, and until when that word counts. */
	readonly zoneExhaustedUntil: Map<BudgetName, Millis>
}

/** Who ran what. Written by `IdentityController`. @public */
export interface IdempotencySection {
	readonly records: Map<RequestId, IdempotencyRecord>
	/** True once all records of the keys of this box have arrived. */
	hasAllRecords: boolean
}

/** Targets and their load. Written by `TargetController`. @public */
export interface TargetsSection {
	readonly states: Map<TargetName, TargetState>
}

/** Requests of this box. Written by `RequestController`. @public */
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
 * All that a router knows, in typed sections. Each section has one controller that writes it; every
 * controller may read all.
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

/** The writable blackboard. Only the assembly of a core hands sections out. @public */
export interface Blackboard {
	readonly config: ConfigSection
	readonly members: MembersSection
	readonly slices: SliceSection
	readonly idempotency: IdempotencySection
	readonly targets: TargetsSection
	readonly requests: RequestsSection
	readonly roles: RolesSection
}

/** A blackboard of a box that knows nothing yet. @public */
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

/** True where this box is a member and holds the records of all its keys. @public */
export function isServingMember(board: BlackboardView, self: BoxConfig): boolean {
	return board.idempotency.hasAllRecords && isMember(board, self.box, self.incarnation)
}

/** Says whether this box is a member of its zone's view. @public */
export function isMember(board: BlackboardView, box: BoxName, incarnation: string): boolean {
	return board.members.view.members.some(
		(member) => member.box === box && member.incarnation === incarnation,
	)
}
