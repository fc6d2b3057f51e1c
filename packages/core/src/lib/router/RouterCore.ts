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

/** All protections of a core; each can be switched off to show that the tests notice. @public */
export interface Protections extends SliceProtections, RequestProtections {
	/** Stop acting once the view no longer has this incarnation. */
	readonly fencing: boolean
}

/** Every protection on. @public */
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
	/** Throw on a broken invariant instead of logging it; for tests and long runs. */
	readonly throwOnViolation: boolean
	/** Last word of the incarnation before, if it was fenced off. */
	readonly finalCounters: FinalCountersMessage | undefined
}

/** Options in production. @public */
export const DEFAULT_CORE_OPTIONS: RouterCoreOptions = {
	protections: ALL_PROTECTIONS,
	pick: DEFAULT_PICK_OPTIONS,
	throwOnViolation: false,
	finalCounters: undefined,
}

/**
 * All decisions of a router. Events go in, actions come out; it has no clock, sockets or random
 * numbers of its own, so that the same code runs in the daemon, in a test and under a bench that
 * owns time.
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
		const board: Blackboard = createBlackboard()
		const { protections } = this.options
		this.blackboard = board
		this.context = new CoreContext(self, board, random)
		this.config = new ConfigController(this.context, board.config)
		this.slices = new SliceController(this.context, board.slices, protections)
		this.idempotency = new IdempotencyController(
			this.context,
			board.idempotency,
			{ onSealed: (copy) => this.onReplicaSealed(copy) },
			{
				budgets: () => board.slices.ledger.budgets(),
				sliceRow: (budget, watermark) => this.slices.sliceRow(budget, watermark),
				onAcknowledged: (row) => this.slices.onAcknowledged(row),
				onNewerView: (view) => this.membership.applyView(view),
			},
		)
		this.slices.replicationLog = this.idempotency.replicationLog
		this.zoneLeader = new ZoneLeaderController(this.context)
		this.targets = new TargetController(this.context, board.targets, this.options.pick)
		this.requests = new RequestController({
			context: this.context,
			store: new RunStore(this.context, board.requests),
			idempotency: this.idempotency,
			slices: this.slices,
			targets: this.targets,
			protections,
		})
		this.membership = this.createMembership(board)
	}

	/** True where callers may be sent here. */
	isReady(): boolean {
		const { config, members } = this.blackboard
		const settled = isServingMember(this.blackboard, this.context.self)
		return config.index !== undefined && settled && !members.isStopping
	}

	/** Takes one event; returns what the shell has to do. */
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

	/** A request whose handling would have broken an invariant is answered, and not called not run. */
	private refuseAfterViolation(event: CoreEvent): void {
		if (event.kind !== 'request') return
		const { callId } = event.request
		const refusal = maybeRun('internal', 'an invariant would have been broken')
		this.context.emit({ kind: 'refuse', callId, refusal })
	}

	private createMembership(board: Blackboard): MembershipController {
		return new MembershipController(this.context, board.members, board.roles, {
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

	/** As witness of an incarnation that is gone: testify until the ledger has it. */
	private onReplicaSealed(copy: BoxReplica): void {
		this.pendingReplicaReports.set(`${copy.box}#${copy.incarnation}`, {
			replica: copy,
			sentAt: -Infinity,
		})
	}

	private sendReplicaReports(): void {
		const { leader: keeper } = this.blackboard.members
		if (!keeper) return
		for (const entry of this.pendingReplicaReports.values()) {
			if (this.context.now - entry.sentAt < this.context.self.timing.heartbeatPeriodMs) continue
			entry.sentAt = this.context.now
			const { box, incarnation } = entry.replica
			const rows = [...entry.replica.replicaReports()].map(([budget, testimony]) => {
				return { budget, testimony }
			})
			this.context.send(keeper, { kind: 'testimony', box, incarnation, rows })
		}
	}

	private sendFinalCounters(): void {
		const { leader: keeper } = this.blackboard.members
		const due =
			this.context.now - this.finalCountersSentAt >= this.context.self.timing.heartbeatPeriodMs
		if (!keeper || !this.finalCounters || !due) return
		this.finalCountersSentAt = this.context.now
		this.context.send(keeper, this.finalCounters)
	}

	/** This incarnation is no member any more: it may finish nothing and starts anew. */
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
		const confession: FinalCountersMessage = { kind: 'confess', box, incarnation, rows }
		const retired = this.blackboard.members.view.retired.find((entry) => entry.box === box)
		const after = retired?.incarnation ?? incarnation
		this.context.emit({ kind: 'restart', finalCounters: confession, after })
	}

	private isDrained(): boolean {
		const { replicationLog: log } = this.idempotency
		const safe = log.isSynced() && log.isDurable(log.lastPosition())
		return this.requests.isIdle() && this.slices.isAllReturned() && safe
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
