import { ConfigController } from '../controllers/ConfigController.js'
import { IdempotencyController } from '../controllers/IdempotencyController.js'
import { ZoneLeaderController } from '../controllers/ZoneLeaderController.js'
import { MembershipController } from '../controllers/MembershipController.js'
import { SliceController, type SliceProtections } from '../controllers/SliceController.js'
import { RequestController } from '../controllers/RequestController.js'
import { TargetController } from '../controllers/TargetController.js'
import { exhaustive } from '../exhaustive.js'
import type { BoxName } from '../ids.js'
import type { BoxReplica } from '../identity/BoxReplica.js'
import { InvariantViolation } from '../InvariantViolation.js'
import type { ZoneView } from '../membership/ZoneView.js'
import { maybeRun } from '../Refusal.js'
import { ALL_REQUEST_PROTECTIONS, type RequestProtections } from '../requests/RunAdmission.js'
import { RunStore } from '../requests/RunStore.js'
import { DEFAULT_PICK_OPTIONS, type PickOptions } from '../routing/pickTarget.js'
import type { Millis } from '../units.js'
import {
	createBlackboard,
	isServingMember,
	type Blackboard,
	type BlackboardView,
} from './Blackboard.js'
import type { BoxConfig } from './BoxConfig.js'
import type { CoreAction } from './CoreAction.js'
import { CoreContext, type RandomSource } from './CoreContext.js'
import type { CoreEvent } from './CoreEvent.js'
import type { FinalCountersMessage, PeerMessage } from './PeerMessage.js'

/** Protections of a core, each of which a test can switch off. @public */
export interface Protections extends SliceProtections, RequestProtections {
	/** Stop this incarnation once it is no longer a member of the view. */
	readonly fencing: boolean
}

/** Enables all protections. @public */
export const ALL_PROTECTIONS: Protections = {
	...ALL_REQUEST_PROTECTIONS,
	watermark: true,
	transfers: true,
	recall: true,
	witnessedBills: true,
	fencing: true,
}

/** Options of a core. @public */
export interface RouterCoreOptions {
	readonly protections: Protections
	readonly pick: PickOptions
	/** Throw an invariant violation instead of logging it. For tests. */
	readonly throwOnViolation: boolean
	/** Final counters of the previous incarnation, if it was fenced. */
	readonly finalCounters: FinalCountersMessage | undefined
}

/** Default options. @public */
export const DEFAULT_CORE_OPTIONS: RouterCoreOptions = {
	protections: ALL_PROTECTIONS,
	pick: DEFAULT_PICK_OPTIONS,
	throwOnViolation: false,
	finalCounters: undefined,
}

/**
 * Makes all decisions of a router as a deterministic state machine: takes events and returns actions for its shell, the
 * process around it. Time and random numbers are passed in, so that the same code runs in the daemon, in tests and in
 * simulations.
 * @public
 */
export class RouterCore {
	readonly blackboard: BlackboardView
	private readonly context: CoreContext
	private readonly config: ConfigController
	private readonly membership: MembershipController
	private readonly idempotency: IdempotencyController
	private readonly slices: SliceController
	private readonly zoneLeader: ZoneLeaderController
	private readonly targets: TargetController
	private readonly requests: RequestController
	private readonly pendingReplicaReports = new Map<
		string,
		{ replica: BoxReplica; sentAt: Millis }
	>()
	private readonly options: RouterCoreOptions
	private finalCounters: FinalCountersMessage | undefined
	private finalCountersSentAt: Millis = -Infinity
	private isFenced = false
	private hasExited = false

	constructor(self: BoxConfig, random: RandomSource, options: Partial<RouterCoreOptions> = {}) {
		this.options = { ...DEFAULT_CORE_OPTIONS, ...options }
		this.finalCounters = this.options.finalCounters
		const blackboard: Blackboard = createBlackboard()
		const { protections } = this.options
		this.blackboard = blackboard
		this.context = new CoreContext(self, blackboard, random)
		this.config = new ConfigController(this.context, blackboard.config)
		this.slices = new SliceController(this.context, blackboard.slices, protections)
		this.idempotency = new IdempotencyController(
			this.context,
			blackboard.idempotency,
			{ onSealed: (replica) => this.onReplicaSealed(replica) },
			{
				budgets: () => blackboard.slices.ledger.budgets(),
				sliceRow: (budget, watermark) => this.slices.sliceRow(budget, watermark),
				onAcknowledged: (row) => this.slices.onAcknowledged(row),
				onNewerView: (view) => this.membership.applyView(view),
			},
		)
		this.slices.replicationLog = this.idempotency.replicationLog
		this.zoneLeader = new ZoneLeaderController(this.context)
		this.targets = new TargetController(this.context, blackboard.targets, this.options.pick)
		this.requests = new RequestController({
			context: this.context,
			store: new RunStore(this.context, blackboard.requests),
			idempotency: this.idempotency,
			slices: this.slices,
			targets: this.targets,
			protections,
		})
		this.membership = this.createMembership(blackboard)
	}

	/** True if this box can serve callers. */
	isReady(): boolean {
		const { config, members } = this.blackboard
		const isServing = isServingMember(this.blackboard, this.context.self)
		return config.index !== undefined && isServing && !members.isStopping
	}

	/** Handles an event and returns the actions for the shell. */
	handle(event: CoreEvent, now: Millis): CoreAction[] {
		this.context.now = now
		if (this.isFenced || this.hasExited) return []
		try {
			this.dispatch(event)
			if (!this.isFenced) this.requests.afterEvent()
			if (!this.isFenced) this.idempotency.replicationLog.flush()
		} catch (error) {
			if (!(error instanceof InvariantViolation) || this.options.throwOnViolation) throw error
			this.context.log('invariant-breach', { ...error.facts, invariant: error.invariant })
			this.refuseAfterViolation(event)
		}
		return this.context.takeActions()
	}

	/** Refuses a request whose handling violated an invariant. Reports that it may have run. */
	private refuseAfterViolation(event: CoreEvent): void {
		if (event.kind !== 'request') return
		const { callId } = event.request
		const refusal = maybeRun('internal', 'an invariant would have been broken')
		this.context.emit({ kind: 'refuse', callId, refusal })
	}

	private createMembership(blackboard: Blackboard): MembershipController {
		return new MembershipController(this.context, blackboard.members, blackboard.roles, {
			onViewChange: (before, after) => this.onViewChange(before, after),
			onFenced: () => this.fence(),
			onLeaderChange: () => this.zoneLeader.onLeaderChange(),
			bundleVersion: () => this.config.version(),
			noteBundleVersion: (version) => this.config.noteVersion(version),
			isDrained: () => this.isDrained(),
		})
	}

	private dispatch(event: CoreEvent): void {
		switch (event.kind) {
			case 'tick':
				this.tick()
				return
			case 'bundle':
				if (!this.config.apply(event.bundle)) return
				this.targets.tick()
				this.membership.scheduleHeartbeat()
				return
			case 'request':
				this.requests.onRequest(event.request)
				return
			case 'caller-gone':
				this.requests.onCallerGone(event)
				return
			case 'relay-failed':
				this.requests.onRelayFailed(event)
				return
			case 'attempt-ended':
				this.requests.onAttemptEnded(event.runId, event.attempt, event.outcome)
				return
			case 'platform':
				this.membership.notePlatformResult(event.result)
				this.context.handlePlatformResult(event.opId, event.result)
				return
			case 'peer':
				this.onPeerMessage(event.from, event.message)
				return
			case 'load':
				this.targets.onLoad(event.reports)
				this.membership.addLoadReports(event.reports)
				return
			case 'leaving-targets':
				this.targets.setListedLeaving(event.targets)
				this.membership.setLeavingTargets(event.targets)
				return
			case 'stop':
				this.membership.beginStop()
				this.context.log('stop-begun', {})
				return
			default:
				exhaustive(event)
		}
	}

	private tick(): void {
		this.membership.tick()
		if (this.isFenced) return
		this.config.tick()
		this.targets.tick()
		this.requests.tick()
		this.slices.tick()
		this.zoneLeader.tick()
		this.idempotency.tick()
		this.sendReplicaReports()
		this.sendFinalCounters()
		if (this.blackboard.members.isStopping) this.advanceStop()
	}

	private onPeerMessage(from: BoxName, message: PeerMessage): void {
		switch (message.kind) {
			case 'heartbeat':
				this.membership.onHeartbeat(message)
				return
			case 'digest':
				this.membership.onDigest(message)
				this.targets.onLoad(message.reports)
				this.targets.setListedLeaving(message.leavingTargets)
				return
			case 'log':
				this.idempotency.onReplicationBatch(from, message)
				return
			case 'log-ack':
				this.idempotency.onAck(message)
				return
			case 'fenced':
				if (message.incarnation === this.context.self.incarnation)
					this.membership.applyView(message.view)
				return
			case 'ask':
				this.zoneLeader.onGrantRequest(from, message)
				return
			case 'grant':
				this.slices.onGrant(message)
				return
			case 'recall':
				this.slices.onRecall(message.rows)
				return
			case 'testimony':
				this.zoneLeader.onReplicaReport(from, message)
				return
			case 'testimony-ack':
				this.pendingReplicaReports.delete(`${message.box}#${message.incarnation}`)
				this.idempotency.dropReplica(message.box, message.incarnation)
				return
			case 'confess':
				this.zoneLeader.onFinalCounters(from, message)
				return
			case 'confess-ack':
				if (message.incarnation === this.finalCounters?.incarnation) this.finalCounters = undefined
				return
			case 'transfer-ask':
				this.slices.onTransferRequest(from, message)
				return
			case 'transfer':
				this.slices.onTransfer(from, message)
				return
			case 'handoff':
				this.idempotency.onHandoff(from, message)
				return
			case 'handoff-ack':
				this.idempotency.onHandoffAck(from, message)
				return
			default:
				exhaustive(message)
		}
	}

	private onViewChange(before: ZoneView, after: ZoneView): void {
		this.requests.onViewChange()
		this.slices.onViewChange()
		this.idempotency.onViewChange(before, after)
	}

	/** Queues the report of a sealed replica, which is sent until the zone leader acknowledges it. */
	private onReplicaSealed(replica: BoxReplica): void {
		this.pendingReplicaReports.set(`${replica.box}#${replica.incarnation}`, {
			replica,
			sentAt: -Infinity,
		})
	}

	private sendReplicaReports(): void {
		const { leader } = this.blackboard.members
		if (!leader) return
		for (const entry of this.pendingReplicaReports.values()) {
			if (this.context.now - entry.sentAt < this.context.self.timing.heartbeatPeriodMs) continue
			entry.sentAt = this.context.now
			const { box, incarnation } = entry.replica
			const rows = [...entry.replica.replicaReports()].map(([budget, report]) => {
				return { budget, testimony: report }
			})
			this.context.send(leader, { kind: 'testimony', box, incarnation, rows })
		}
	}

	private sendFinalCounters(): void {
		const { leader } = this.blackboard.members
		const isDue =
			this.context.now - this.finalCountersSentAt >= this.context.self.timing.heartbeatPeriodMs
		if (!leader || !this.finalCounters || !isDue) return
		this.finalCountersSentAt = this.context.now
		this.context.send(leader, this.finalCounters)
	}

	/** Stops this incarnation, which is no longer a member, and restarts the box as a new one. */
	private fence(): void {
		if (this.blackboard.members.isStopping && this.isDrained()) {
			this.exit()
			return
		}
		if (!this.options.protections.fencing) return
		this.context.log('box-fenced', { incarnation: this.context.self.incarnation })
		this.requests.refuseAll()
		this.isFenced = true
		const { box, incarnation } = this.context.self
		const rows = this.slices.finalCounterRows()
		const finalCounters: FinalCountersMessage = { kind: 'confess', box, incarnation, rows }
		const retired = this.blackboard.members.view.retired.find((entry) => entry.box === box)
		const after = retired?.incarnation ?? incarnation
		this.context.emit({ kind: 'restart', finalCounters, after })
	}

	private isDrained(): boolean {
		const { replicationLog } = this.idempotency
		const isReplicated =
			replicationLog.isSynced() && replicationLog.isDurable(replicationLog.lastPosition())
		return this.requests.isIdle() && this.slices.isAllReturned() && isReplicated
	}

	private advanceStop(): void {
		if (this.blackboard.roles.isLeader && this.membership.hasStayingPeer()) this.membership.resign()
		if (!this.requests.isIdle()) return
		this.slices.returnAllIdle()
		if (this.isDrained() && this.blackboard.members.view.number === 0) this.exit()
	}

	private exit(): void {
		this.membership.resign()
		this.hasExited = true
		this.context.log('stop-done', {})
		this.context.emit({ kind: 'exit' })
	}
}
