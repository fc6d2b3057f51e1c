/**
 * Branded identifiers, which prevent passing one kind of name where another is expected.
 */
declare const brand: unique symbol

/** A string with a brand that exists at compile time only. @public */
export type Branded<Name extends string> = string & { readonly [brand]: Name }

/** Name of a box, from its settings. @public */
export type BoxName = Branded<'BoxName'>
/** Identifies one process of a box; new at each start. @public */
export type Incarnation = Branded<'Incarnation'>
/** Name of an availability zone. @public */
export type ZoneName = Branded<'ZoneName'>
/** Name of a region, a group of availability zones. @public */
export type RegionName = Branded<'RegionName'>
/** Name of a client account. @public */
export type AccountName = Branded<'AccountName'>
/** Name of a prepaid budget. @public */
export type BudgetName = Branded<'BudgetName'>
/** Name of a target, an instance of a model engine or another service. @public */
export type TargetName = Branded<'TargetName'>
/** Software version of a target; an opaque name without an order. @public */
export type SoftwareVersion = Branded<'SoftwareVersion'>
/** Identifier of a request, composed of the client account and its idempotency key. @public */
export type RequestId = Branded<'RequestId'>
/** Hash of the content of a request; the same for all its attempts at all boxes. @public */
export type RequestFingerprint = Branded<'RequestFingerprint'>
/** Identifier of a part of a prompt that requests may share. @public */
export type PromptPartId = Branded<'PromptPartId'>
/** Identifier of an open call of a caller at one box. @public */
export type CallId = Branded<'CallId'>

/** Brands a plain string without validation. @public */
export function brandId<T extends Branded<string>>(text: string): T {
	return text as T
}

/** Name of a service, a pool of interchangeable targets. @public */
export type ServiceName = Branded<'ServiceName'>
/** Name of a route of the traffic configuration. @public */
export type RouteName = Branded<'RouteName'>
