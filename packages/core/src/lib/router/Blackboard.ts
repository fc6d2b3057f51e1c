import type { BundleIndex } from '../bundle/BundleIndex.js'
import type { BoxName, BudgetName, RequestId, TargetName, ZoneName } from '../ids.js'
import type { IdentityRecord } from '../identity/IdentityRecord.js'
import { EMPTY_VIEW, type Member, type ZoneView } from '../membership/ZoneView.js'
import { SliceLedger } from '../money/SliceLedger.js'
import type { TargetState } from '../routing/TargetState.js'
import type { Amount, Millis } from '../units.js'
import type { Run } from '../requests/Run.js'
import type { BoxConfig } from './BoxConfig.js'
import type { ZoneAddresses } from './PeerMessage.js'

/** Configuration in force. Written by `ConfigController`. @public */
export interface ConfigSection {
	index: BundleIndex | undefined
	/** Highest version that any peer or the platform has named. */
	offered: number
}

/** The zone and its boxes. Written by `MembershipController`. @public */
export interface MembersSection {
	view: ZoneView
	keeper: Member | undefined
	term: number
	zones: Map<ZoneName, ZoneAddresses>
	platformUp: boolean
	/** True from the start of a planned stop. */
	stopping: boolean
	/** Time of the last sign of life of the keeper. */
	keeperSeenAt: Millis
}

/** This box's money. Written by `MoneyController`. @public */
export interface MoneySection {
	readonly ledger: SliceLedger
	/** Smoothed demand in budget tokens per second. */
	readonly demand: Map<BudgetName, Amount>
	/** Budgets that the keeper called dry, and until when that word counts. */
	readonly dryUntil: Map<BudgetName, Millis>
}

/** Who ran what. Written by `IdentityController`. @public */
export interface IdentitySection {
	readonly records: Map<RequestId, IdentityRecord>
	/** True once all records of the keys of this box have arrived. */
	settled: boolean
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
	keeper: boolean
}

type Reader<T> = {
	readonly [K in keyof T]: T[K] extends Map<infer A, infer B> ? ReadonlyMap<A, B> : T[K]
}

/**
 * All that a router knows, in typed sections. Each section has one controller that writes it; every
 * controller may read all.
 * @public
 */
export interface BlackboardView {
	readonly config: Reader<ConfigSection>
	readonly members: Reader<MembersSection>
	readonly money: Reader<MoneySection>
	readonly identity: Reader<IdentitySection>
	readonly targets: Reader<TargetsSection>
	readonly requests: Reader<RequestsSection>
	readonly roles: Reader<RolesSection>
}

/** The writable blackboard. Only the assembly of a core hands sections out. @public */
export interface Blackboard {
	readonly config: ConfigSection
	readonly members: MembersSection
	readonly money: MoneySection
	readonly identity: IdentitySection
	readonly targets: TargetsSection
	readonly requests: RequestsSection
	readonly roles: RolesSection
}

/** A blackboard of a box that knows nothing yet. @public */
export function emptyBlackboard(): Blackboard {
	return {
		config: { index: undefined, offered: 0 },
		members: {
			view: EMPTY_VIEW,
			keeper: undefined,
			term: 0,
			zones: new Map(),
			platformUp: true,
			stopping: false,
			keeperSeenAt: 0,
		},
		money: { ledger: new SliceLedger(), demand: new Map(), dryUntil: new Map() },
		identity: { records: new Map(), settled: false },
		targets: { states: new Map() },
		requests: { runs: new Map() },
		roles: { keeper: false },
	}
}

/** True where this box is a member and holds the records of all its keys. @public */
export function isSettled(board: BlackboardView, self: BoxConfig): boolean {
	return board.identity.settled && isMember(board, self.box, self.incarnation)
}

/** Says whether this box is a member of its zone's view. @public */
export function isMember(board: BlackboardView, box: BoxName, incarnation: string): boolean {
	return board.members.view.members.some(
		(member) => member.box === box && member.incarnation === incarnation,
	)
}
