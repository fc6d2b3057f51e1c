import type { AccountName, BudgetName, TargetName, ZoneName } from '../ids.js'
import type { Amount, Millis } from '../units.js'

/** Lowest and highest priority class of a request. @public */
export type Priority = 'urgent' | 'ordinary'

/** An availability zone of the fleet. @public */
export interface ZoneRecord {
	readonly name: ZoneName
}

/** A model and its price in budget tokens. @public */
export interface ModelRecord {
	readonly name: string
	/** Budget tokens per input token. */
	readonly inputWeight: number
	/** Budget tokens per output token. */
	readonly outputWeight: number
	/** Largest answer, in output tokens; also the default of a request that names none. */
	readonly maxOutputTokens: number
}

/** A plain service and its price. @public */
export interface ServiceRecord {
	readonly name: string
	/** Budget tokens per call. */
	readonly callCost: Amount
}

/** A back end: one model engine or one instance of a plain service. @public */
export interface TargetRecord {
	readonly name: TargetName
	readonly zone: ZoneName
	readonly kind: 'engine' | 'service'
	readonly url: string
	/** Models of an engine, or the one service name of a plain service. */
	readonly serves: readonly string[]
	/** Requests that the target may have in flight from the whole zone. */
	readonly concurrency: number
	/** True from the moment at which the target shall get no new work. */
	readonly leaving: boolean
}

/** A client account. Only hashes of its keys are kept. @public */
export interface AccountRecord {
	readonly name: AccountName
	/** `sha256:<hex>` of each bearer key. */
	readonly keyHashes: readonly string[]
	readonly budgets: readonly BudgetName[]
	readonly defaultBudget: BudgetName
	/** Zones that plain keys of this account may have as home; all zones where empty. */
	readonly homeZones: readonly ZoneName[]
}

/** A prepaid budget. @public */
export interface BudgetRecord {
	readonly name: BudgetName
	/** Budget tokens paid for. Spend never exceeds it. */
	readonly prepaid: Amount
}

/** Policy settings that go with a bundle. @public */
export interface PolicyRecord {
	/** Length of demand that a slice should cover, in ms. */
	readonly sliceHorizonMs: Millis
	/** Length of demand that a watermark tranche should cover, in ms. */
	readonly trancheMs: Millis
	/** How long an identity record is kept after the answer, in ms. */
	readonly retentionMs: Millis
	/** Largest clock difference between any two machines, callers included, in ms. */
	readonly clockSkewMs: Millis
	/** Share of a target's concurrency that ordinary requests may not use. */
	readonly urgentHeadroom: number
	/** Platform values that the budgets are spread over. Changing it needs new budget names. */
	readonly shardCount: number
	/** Writes and reads a second that the platform can take in all. */
	readonly platformWrites: number
	readonly platformReads: number
}

/** One version of the configuration. Immutable once accepted. @public */
export interface Bundle {
	readonly version: number
	readonly zones: readonly ZoneRecord[]
	readonly models: readonly ModelRecord[]
	readonly services: readonly ServiceRecord[]
	readonly targets: readonly TargetRecord[]
	readonly accounts: readonly AccountRecord[]
	readonly budgets: readonly BudgetRecord[]
	readonly policy: PolicyRecord
}

/** Policy of a bundle that states none. Figures are argued in `docs/design/money.md`. @public */
export const DEFAULT_POLICY: PolicyRecord = {
	sliceHorizonMs: 600_000,
	trancheMs: 2_000,
	retentionMs: 900_000,
	clockSkewMs: 2_000,
	urgentHeadroom: 0.2,
	shardCount: 1,
	platformWrites: 100,
	platformReads: 2_000,
}
