/** Decision logic of a stallwing router: deterministic, without sockets or clocks. */
export {
	NO_REVISION,
	compareRevisions,
	describeRevision,
	isNewerRevision,
	isSameRevision,
	newestRevision,
	type StoreRevision,
} from './lib/StoreRevision.js'
export {
	InvariantViolation,
	assertInvariant,
	type InvariantName,
} from './lib/InvariantViolation.js'
export {
	REFUSAL_STATUS,
	notRun,
	maybeRun,
	type RunState,
	type RefusalType,
	type Refusal,
} from './lib/Refusal.js'
export {
	DEFAULT_POLICY,
	type Priority,
	type ZoneRecord,
	type ModelRecord,
	type ServiceRecord,
	type TargetRecord,
	type AccountRecord,
	type BudgetRecord,
	type PolicyRecord,
	type Bundle,
} from './lib/bundle/Bundle.js'
export { BundleIndex } from './lib/bundle/BundleIndex.js'
export { bundleSchema, validateBundle, type BundleFault } from './lib/bundle/validateBundle.js'
export { exhaustive } from './lib/exhaustive.js'
export { fnv1a } from './lib/fnv1a.js'
export { isWellFormedKey, parseKey, mintKey, type KeyParts } from './lib/identity/IdempotencyKey.js'
export {
	laterRecord,
	requestId,
	keyOf,
	type IdempotencyState,
	type BillRow,
	type IdempotencyRecord,
	type RecordLoss,
} from './lib/identity/IdempotencyRecord.js'
export { type LogPosition } from './lib/identity/ReplicationLog.js'
export { BoxReplica, type SliceRow, type ReplicationBatch } from './lib/identity/BoxReplica.js'
export { maxCountInWindow } from './lib/maxCountInWindow.js'
export { ForwardingPeers, type ForwardingPeer } from './lib/reachability/ForwardingPeers.js'
export { TargetReachability, type ReachState } from './lib/reachability/TargetReachability.js'
export { rendezvous, rendezvousFirst, rendezvousRank } from './lib/identity/rendezvous.js'
export {
	brandId,
	type Branded,
	type BoxName,
	type Incarnation,
	type ZoneName,
	type AccountName,
	type PromptPartId,
	type BudgetName,
	type SoftwareVersion,
	type TargetName,
	type RequestId,
	type RequestFingerprint,
	type RegionName,
	type RouteName,
	type ServiceName,
	type CallId,
} from './lib/ids.js'
export {
	MAX_PAST_VIEWS,
	EMPTY_VIEW,
	nextView,
	findMember,
	hasSurvivingReplica,
	hasIncarnation,
	eligibleOwners,
	ownerOf,
	replicaBoxOf,
	membersAt,
	zoneKeys,
	shardKey,
	BUNDLE_HEAD_KEY,
	type Member,
	type PastView,
	type ZoneView,
} from './lib/membership/ZoneView.js'
export {
	emptyShard,
	shardOf,
	getOrCreateZoneAllotment,
	outstandingInShard,
	freeInShard,
	unspentInShard,
	wantedInShard,
	allotToZone,
	raiseZoneCounters,
	setPrepaid,
	type ZoneAllotment,
	type ShardBudget,
	type BudgetShardValue,
} from './lib/money/BudgetShard.js'
export {
	EMPTY_COUNTERS,
	balanceOf,
	SliceLedger,
	type SliceCounters,
} from './lib/money/SliceLedger.js'
export {
	entryKey,
	parseEntryKey,
	emptyZoneLedger,
	getOrCreateLedgerBudget,
	outstandingInZone,
	freeInZone,
	billedInZone,
	inDoubtInZone,
	raiseAllotment,
	grantToBox,
	raiseCounters,
	addSealed,
	sealEntry,
	markEntryInDoubt,
	releaseEntry,
	closeEntry,
	returnToShard,
	type LedgerEntry,
	type LedgerBudget,
	type ZoneLedgerValue,
	type ReplicaReport,
} from './lib/money/ZoneLedger.js'
export { type OpId, type PlatformOp, type PlatformResult } from './lib/platform/PlatformOp.js'
export { type RunStage, type Run, type WaitReason } from './lib/requests/Run.js'
export { ALL_REQUEST_PROTECTIONS, type RequestProtections } from './lib/requests/RunAdmission.js'
export { DEFAULT_QUEUE_LIMITS, type QueueLimits } from './lib/requests/RunQueue.js'
export {
	createBlackboard,
	isMember,
	type ConfigSection,
	type MembersSection,
	type SliceSection,
	type IdempotencySection,
	type TargetsSection,
	type RequestsSection,
	type RolesSection,
	type BlackboardView,
	type Blackboard,
} from './lib/router/Blackboard.js'
export { DEFAULT_TIMING, type BoxConfig, type Timing } from './lib/router/BoxConfig.js'
export { type CoreAction } from './lib/router/CoreAction.js'
export { CoreContext, type RandomSource } from './lib/router/CoreContext.js'
export {
	type CallerRequest,
	type Work,
	type AttemptOutcome,
	type CoreEvent,
} from './lib/router/CoreEvent.js'
export { type LoadReport } from './lib/router/LoadReport.js'
export { type LogEventName, type LogEvent, type LogValue } from './lib/router/LogEvent.js'
export {
	type GrantRequestRow,
	type GrantRow,
	type ZoneMembers,
	type PeerMessage,
	type FinalCountersMessage,
} from './lib/router/PeerMessage.js'
export {
	ALL_PROTECTIONS,
	DEFAULT_CORE_OPTIONS,
	RouterCore,
	type Protections,
	type RouterCoreOptions,
} from './lib/router/RouterCore.js'
export { LOG_EVENTS } from './lib/router/logEvents.js'
export { newTargetState, type TargetState } from './lib/routing/TargetState.js'
export {
	DEFAULT_PICK_OPTIONS,
	pickTarget,
	type PickOptions,
	type PickInput,
	type PickResult,
} from './lib/routing/pickTarget.js'
export { SECOND_MS, type Amount, type Millis } from './lib/units.js'
export { type AllowanceView, AllowanceLedger } from './lib/allowance/AllowanceLedger.js'
export {
	MIN_DRAW_REPLICAS,
	EMPTY_ALLOWANCE_ROW,
	maxDrawnByOthers,
	spentByOthers,
	isDrawKnown,
	isWrittenInEra,
	type AllowanceRow,
	type BoxDraws,
	isOverBudget,
	boxesByUnspent,
	secondsToExhaustion,
	boxesWithStaleDraws,
	withheldTokens,
	type TokensByAccount,
} from './lib/allowance/AllowanceRow.js'
export { type Budgets } from './lib/allowance/Budgets.js'
export {
	MAX_BACKUP_AGE_MS,
	PENDING_CEILING_INTERVAL_MS,
	needsNewCeilings,
} from './lib/allowance/drawCeilings.js'
export {
	ROW_REFRESH_INTERVAL_MS,
	assumeAllDrawn,
	dropReportedBounds,
	enterEra,
	releaseWithheldTokens,
} from './lib/allowance/unreportedDraws.js'
export {
	SPENDING_LIMIT_VALIDITY_MS,
	SPENDING_LIMIT_LEASE_MS,
	NEAR_EXHAUSTION_SECONDS,
	MIN_CLAIM_UPTIME_MS,
	isSpendingLimitLow,
	mayMissDraws,
	nextSpendingLimit,
	maxSpentByPredecessor,
	type SpendingLimits,
} from './lib/allowance/SpendingLimits.js'
export {
	allLenders,
	lendersFor,
	lendersOfZone,
	type FleetMember,
	watchersFor,
} from './lib/allowance/chooseLenders.js'
export { RemainingTokensCache } from './lib/allowance/RemainingTokensCache.js'
export { maxByAccount, mergeLostDraws } from './lib/allowance/mergeLostDraws.js'
export { planClaim } from './lib/allowance/planClaim.js'
export { drawableTokens, isDrawDue, planDraw } from './lib/allowance/planDraw.js'
export { TargetRegistry } from './lib/placement/TargetRegistry.js'
export { type AttemptHandle } from './lib/placement/AttemptHandle.js'
export { type Placement, type PlacementQuery } from './lib/placement/Placement.js'
export { type TargetChanges } from './lib/placement/TargetChanges.js'
export { type TargetWork } from './lib/placement/TargetWork.js'
export { type TargetNoticeStatus } from './lib/placement/TargetNoticeStatus.js'
export { type ColdLimits, type ColdStart } from './lib/placement/coldRateLimit.js'
export { type RateLimitShare } from './lib/placement/FleetRateLimiter.js'
export { type RateLimitStatus } from './lib/placement/RateLimitStatus.js'
export { type AdvertisedRate } from './lib/placement/TargetNotices.js'
export { type TargetRateLimitsOptions } from './lib/placement/TargetRateLimits.js'
export { type ClosedCause, type ClosedService } from './lib/placement/TargetAdmission.js'
export { type CordonChanges, type ZoneCordon } from './lib/placement/ZoneCordons.js'
export { RestoredTargetFilter } from './lib/placement/RestoredTargetFilter.js'
export { ExpiredTargets } from './lib/placement/ExpiredTargets.js'
export { MAX_STREAM_AGE_MS } from './lib/placement/ServiceVersions.js'
export { versionOf, type TargetEntry, type TargetLoad } from './lib/placement/TargetEntry.js'
export { type TargetOutcome } from './lib/placement/TargetState.js'
export { type SpeedEstimate } from './lib/placement/TargetSpeed.js'
export { type TargetSpeedReport, type TargetSpeedStatus } from './lib/placement/TargetSpeeds.js'
export { ReplacementLimiter } from './lib/retry/ReplacementLimiter.js'
export { RetryBudget, type RetryLimits } from './lib/retry/RetryBudget.js'
export {
	decideAfterAttempt,
	findAttemptObstacle,
	type AttemptFacts,
	type AttemptResult,
	type NotAnsweredReason,
	type NextStep,
	type RetryObstacle,
} from './lib/retry/decideAfterAttempt.js'
export { originHolders, possibleOriginHolders } from './lib/stream/originHolders.js'
export { StreamOrigins, type StreamOrigin } from './lib/stream/StreamOrigins.js'
export { EventSplitter, type StreamEvent } from './lib/stream/EventSplitter.js'
export { maxTotalTokens, type PromptPart, type DeclaredWork } from './lib/traffic/DeclaredWork.js'
export {
	type Account,
	type RequestLimits,
	type Route,
	type RouteKind,
	type Service,
	type ServiceShare,
	type TrafficConfig,
} from './lib/traffic/TrafficConfig.js'
export { allowsRegion, type AllowedRegions } from './lib/traffic/allowsRegion.js'
export { TrafficIndex } from './lib/traffic/TrafficIndex.js'
export {
	shedFraction,
	shedFractionByRank,
	type ShedCandidate,
} from './lib/overload/shedFraction.js'
export { ConnectionTurns } from './lib/overload/ConnectionTurns.js'
export { ArrivalEstimator } from './lib/overload/ArrivalEstimator.js'
export { MAX_ACCEPT_WAIT_SHARE, StartPacer } from './lib/overload/StartPacer.js'
export { SmallChunkLimiter } from './lib/overload/SmallChunkLimiter.js'
export { SmallChunkMeter } from './lib/overload/SmallChunkMeter.js'
export { StartDelayLimit } from './lib/overload/StartDelayLimit.js'
export {
	type BalanceDecision,
	type BalanceReason,
	type BoxLoad,
	type PeerBoxLoad,
} from './lib/balance/BoxLoad.js'
export { BoxBalancer, type BalanceInput } from './lib/balance/BoxBalancer.js'
export { LinkDelayEstimator } from './lib/balance/LinkDelayEstimator.js'
export { LinkBudget, type ExchangeBytes } from './lib/balance/LinkBudget.js'
export { canCarryBody, type LinkState } from './lib/balance/canCarryBody.js'
export { workReportIntervalMs } from './lib/balance/workReportIntervalMs.js'
export { ServiceAdmission } from './lib/admission/ServiceAdmission.js'
export {
	type AdmissionDecision,
	type AdmissionStatus,
	type AdmissionStep,
	type ServiceAdmissionOptions,
} from './lib/admission/AdmissionDecision.js'
export { type BoxDemand, type RankDemand } from './lib/admission/PlaceShare.js'
export { type PlaceUse } from './lib/admission/PlaceUse.js'
export { type QueuePolicy } from './lib/admission/ServiceQueue.js'
export { WorkEstimator, type WorkEstimate } from './lib/admission/WorkEstimator.js'
export {
	type AdmissionOutcome,
	type AdmissionRefusalReason,
	type AdmissionRequest,
} from './lib/admission/AdmissionRequest.js'
export {
	MemoryBudget,
	type MemoryClass,
	type MemoryLevel,
	type MemoryLimits,
} from './lib/memory/MemoryBudget.js'
export { AnswerTurns, type WaitingAnswer } from './lib/memory/AnswerTurns.js'
export { ByteCollector } from './lib/memory/ByteCollector.js'
export { ReadProgress } from './lib/memory/ReadProgress.js'
export {
	displacementCostMs,
	heldTokens,
	memoryFit,
	tokensToHold,
	type EngineMemory,
	type MemoryFit,
} from './lib/memory/engineMemory.js'
export {
	incarnationOf,
	type TargetIncarnation,
	type TargetIdentity,
} from './lib/placement/TargetIncarnation.js'
export { type CrashRecord, type CrashedRun } from './lib/quarantine/CrashRecord.js'
export {
	DEFAULT_PART_LIMITS,
	PartQuarantine,
	type HeldPart,
	type PartQuarantineLimits,
} from './lib/quarantine/PartQuarantine.js'
export { lastCrashAt, type PartCrash, type PartRecord } from './lib/quarantine/PartRecord.js'
export {
	RequestQuarantine,
	type RequestIdentity,
	type RequestStage,
} from './lib/quarantine/RequestQuarantine.js'
