import type { AccountName, BudgetName, TargetName, ZoneName } from '../ids.js'
import type { Amount, Millis } from '../units.js'

/** Priority of a request. @public */
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
	/** Maximum length of an answer, in output tokens; also the default of a request that sets no limit. */
	readonly maxOutputTokens: number
}

/** A service other than a model engine, and its price. @public */
export interface ServiceRecord {
	readonly name: string
	/** Budget tokens per call. */
	readonly callCost: Amount
}

/** A back end: a model engine or an instance of a service. @public */
export interface TargetRecord {
	readonly name: TargetName
	readonly zone: ZoneName
	readonly kind: 'engine' | 'service'
	readonly url: string
	/** Names of the models of an engine, or the name of the service. */
	readonly serves: readonly string[]
	/** Maximum number of requests in flight from all boxes of the zone. */
	readonly concurrency: number
	/** True if the target must not receive new requests. */
	readonly leaving: boolean
}

/** A client account. Holds only hashes of its bearer keys. @public */
export interface AccountRecord {
	readonly name: AccountName
	/** `sha256:<hex>` of each bearer key. */
	readonly keyHashes: readonly string[]
	readonly budgets: readonly BudgetName[]
	readonly defaultBudget: BudgetName
	/** Home zones of idempotency keys that name no zone; all zones if empty. */
	readonly homeZones: readonly ZoneName[]
}

/** A prepaid budget. @public */
export interface BudgetRecord {
	readonly name: BudgetName
	/** Budget tokens paid for, which is the maximum that can be spent. */
	readonly prepaid: Amount
}

/** Policy settings of a bundle. @public */
export interface PolicyRecord {
	/** Period of demand that a box's slice of a budget should cover, in ms. */
	readonly sliceHorizonMs: Millis
	/** Period of demand by which a watermark is raised, in ms. */
	readonly trancheMs: Millis
	/** Time for which an idempotency record is kept after the answer, in ms. */
	readonly retentionMs: Millis
	/** Maximum difference between the clocks of any two machines, including callers, in ms. */
	readonly clockSkewMs: Millis
	/** Fraction of a target's concurrency that is reserved for urgent requests. */
	readonly urgentHeadroom: number
	/** Number of platform values that store the budgets. A change requires new budget names. */
	readonly shardCount: number
	/** Writes per second that the platform can handle for all zones together. */
	readonly platformWrites: number
	/** Reads per second that the platform can handle for all zones together. */
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

/** Policy of a bundle that sets none. `docs/design/money.md` explains the values. @public */
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
