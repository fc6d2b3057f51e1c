import { ConfigController } from '../controllers/ConfigController.js'
import { IdentityController } from '../controllers/IdentityController.js'
import { KeeperController } from '../controllers/KeeperController.js'
import { MembershipController } from '../controllers/MembershipController.js'
import { MoneyController, type MoneyProtections } from '../controllers/MoneyController.js'
import { RequestController } from '../controllers/RequestController.js'
import { TargetController } from '../controllers/TargetController.js'
import { exhaustive } from '../exhaustive.js'
import type { BoxName } from '../ids.js'
import type { WitnessCopy } from '../identity/WitnessCopy.js'
import { InvariantViolation } from '../InvariantViolation.js'
import type { ZoneView } from '../membership/ZoneView.js'
import { maybeRun } from '../Refusal.js'
import { ALL_REQUEST_PROTECTIONS, type RequestProtections } from '../requests/RunAdvancer.js'
import { RunStore } from '../requests/RunStore.js'
import { DEFAULT_PICK_OPTIONS, type PickOptions } from '../routing/pickTarget.js'
import type { Millis } from '../units.js'
import { emptyBlackboard, isSettled, type Blackboard, type BlackboardView } from './Blackboard.js'
import type { BoxConfig } from './BoxConfig.js'
import type { CoreAction } from './CoreAction.js'
import { CoreContext, type RandomSource } from './CoreContext.js'
import type { CoreEvent } from './CoreEvent.js'
import type { Confession, PeerMessage } from './PeerMessage.js'

/** All protections of a core; each can be switched off to show that the tests notice. @public */
export interface Protections extends MoneyProtections, RequestProtections {
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
	readonly throwOnBreach: boolean
	/** Last word of the incarnation before, if it was fenced off. */
	readonly confession: Confession | undefined
}

/** Options in production. @public */
export const DEFAULT_CORE_OPTIONS: RouterCoreOptions = {
	protections: ALL_PROTECTIONS,
	pick: DEFAULT_PICK_OPTIONS,
	throwOnBreach: false,
	confession: undefined,
}

/**
 * All decisions of a router. Events go in, actions come out; it has no clock, sockets or random
 * numbers of its own, so that the same code runs in the daemon, in a test and under a bench that
 * owns time.
 * @public
 */
export class RouterCore {
	readonly board: BlackboardView
	private readonly context: CoreContext
	private readonly config: ConfigController
	private readonly membership: MembershipController
	private readonly identity: IdentityController
	private readonly money: MoneyController
	private readonly keeper: KeeperController
	private readonly targets: TargetController
	private readonly requests: RequestController
	private readonly testimonies = new Map<string, { copy: WitnessCopy; sentAt: Millis }>()
	private readonly options: RouterCoreOptions
	private confession: Confession | undefined
	private confessedAt: Millis = -Infinity
	private fenced = false
	private exited = false

	constructor(self: BoxConfig, random: RandomSource, options: Partial<RouterCoreOptions> = {}) {
		this.options = { ...DEFAULT_CORE_OPTIONS, ...options }
		this.confession = this.options.confession
		const board: Blackboard = emptyBlackboard()
		const { protections } = this.options
		this.board = board
		this.context = new CoreContext(self, board, random)
		this.config = new ConfigController(this.context, board.config)
		this.money = new MoneyController(this.context, board.money, protections)
		this.identity = new IdentityController(
			this.context,
			board.identity,
			{ onSealed: (copy) => this.onSealed(copy) },
			{
				budgets: () => board.money.ledger.budgets(),
				moneyRow: (budget, watermark) => this.money.moneyRow(budget, watermark),
				onAcked: (row) => this.money.onAcked(row),
				onNewerView: (view) => this.membership.takeView(view),
			},
		)
		this.money.log = this.identity.log
		this.keeper = new KeeperController(this.context)
		this.targets = new TargetController(this.context, board.targets, this.options.pick)
		this.requests = new RequestController({
			context: this.context,
			store: new RunStore(this.context, board.requests),
			identity: this.identity,
			money: this.money,
			targets: this.targets,
			protections,
		})
		this.membership = this.makeMembership(board)
	}

	/** True where callers may be sent here. */
	isReady(): boolean {
		const { config, members } = this.board
		const settled = isSettled(this.board, this.context.self)
		return config.index !== undefined && settled && !members.stopping
	}

	/** Takes one event; returns what the shell has to do. */
	handle(event: CoreEvent, now: Millis): CoreAction[] {
		this.context.now = now
		if (this.fenced || this.exited) return []
		try {
			this.dispatch(event)
			if (!this.fenced) this.requests.afterEvent()
			if (!this.fenced) this.identity.log.flush()
		} catch (error) {
			if (!(error instanceof InvariantViolation) || this.options.throwOnBreach) throw error
			this.context.log('invariant-breach', { ...error.facts, invariant: error.invariant })
			this.refuseBroken(event)
		}
		return this.context.drain()
	}

	/** A request whose handling would have broken an invariant is answered, and not called not run. */
	private refuseBroken(event: CoreEvent): void {
		if (event.kind !== 'request') return
		const { callId } = event.request
		const refusal = maybeRun('internal', 'an invariant would have been broken')
		this.context.emit({ kind: 'refuse', callId, refusal })
	}

	private makeMembership(board: Blackboard): MembershipController {
		return new MembershipController(this.context, board.members, board.roles, {
			onView: (before, after) => this.onView(before, after),
			onFenced: () => this.fence(),
			onKeeper: () => this.keeper.onKeeper(),
			bundleVersion: () => this.config.version(),
			offerBundle: (version) => this.config.offer(version),
			drained: () => this.isDrained(),
		})
	}

	private dispatch(event: CoreEvent): void {
		switch (event.kind) {
			case 'tick':
				this.tick()
				return
			case 'bundle':
				if (!this.config.take(event.bundle)) return
				this.targets.tick()
				this.membership.announce()
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
				this.membership.notePlatform(event.result)
				this.context.completePlatform(event.opId, event.result)
				return
			case 'peer':
				this.onPeer(event.from, event.message)
				return
			case 'load':
				this.targets.onLoad(event.reports)
				this.membership.shareReports(event.reports)
				return
			case 'leaving-targets':
				this.targets.onLeaving(event.targets)
				this.membership.shareLeaving(event.targets)
				return
			case 'stop':
				this.membership.stop()
				this.context.log('stop-begun', {})
				return
			default:
				exhaustive(event)
		}
	}

	private tick(): void {
		this.membership.tick()
		if (this.fenced) return
		this.config.tick()
		this.targets.tick()
		this.requests.tick()
		this.money.tick()
		this.keeper.tick()
		this.identity.tick()
		this.resendTestimonies()
		this.resendConfession()
		if (this.board.members.stopping) this.stopStep()
	}

	private onPeer(from: BoxName, message: PeerMessage): void {
		switch (message.kind) {
			case 'heartbeat':
				this.membership.onHeartbeat(message)
				return
			case 'digest':
				this.membership.onDigest(message)
				this.targets.onLoad(message.reports)
				this.targets.onLeaving(message.leavingTargets)
				return
			case 'log':
				this.identity.onLog(from, message)
				return
			case 'log-ack':
				this.identity.onAck(message)
				return
			case 'fenced':
				if (message.incarnation === this.context.self.incarnation)
					this.membership.takeView(message.view)
				return
			case 'ask':
				this.keeper.onAsk(from, message)
				return
			case 'grant':
				this.money.onGrant(message)
				return
			case 'recall':
				this.money.onRecall(message.rows)
				return
			case 'testimony':
				this.keeper.onTestimony(from, message)
				return
			case 'testimony-ack':
				this.testimonies.delete(`${message.box}#${message.incarnation}`)
				this.identity.dropCopy(message.box, message.incarnation)
				return
			case 'confess':
				this.keeper.onConfess(from, message)
				return
			case 'confess-ack':
				if (message.incarnation === this.confession?.incarnation) this.confession = undefined
				return
			case 'transfer-ask':
				this.money.onTransferAsk(from, message)
				return
			case 'transfer':
				this.money.onTransfer(from, message)
				return
			case 'handoff':
				this.identity.onHandoff(from, message)
				return
			case 'handoff-ack':
				this.identity.onHandoffAck(from, message)
				return
			default:
				exhaustive(message)
		}
	}

	private onView(before: ZoneView, after: ZoneView): void {
		this.requests.onView()
		this.money.onView()
		this.identity.onView(before, after)
	}

	/** As witness of an incarnation that is gone: testify until the ledger has it. */
	private onSealed(copy: WitnessCopy): void {
		this.testimonies.set(`${copy.box}#${copy.incarnation}`, { copy, sentAt: -Infinity })
	}

	private resendTestimonies(): void {
		const { keeper } = this.board.members
		if (!keeper) return
		for (const entry of this.testimonies.values()) {
			if (this.context.now - entry.sentAt < this.context.self.timing.heartbeat) continue
			entry.sentAt = this.context.now
			const { box, incarnation } = entry.copy
			const rows = [...entry.copy.testimony()].map(([budget, testimony]) => {
				return { budget, testimony }
			})
			this.context.send(keeper, { kind: 'testimony', box, incarnation, rows })
		}
	}

	private resendConfession(): void {
		const { keeper } = this.board.members
		const due = this.context.now - this.confessedAt >= this.context.self.timing.heartbeat
		if (!keeper || !this.confession || !due) return
		this.confessedAt = this.context.now
		this.context.send(keeper, this.confession)
	}

	/** This incarnation is no member any more: it may finish nothing and starts anew. */
	private fence(): void {
		if (this.board.members.stopping && this.isDrained()) {
			this.exit()
			return
		}
		if (!this.options.protections.fencing) return
		this.context.log('box-fenced', { incarnation: this.context.self.incarnation })
		this.requests.fence()
		this.fenced = true
		const { box, incarnation } = this.context.self
		const rows = this.money.confession()
		const confession: Confession = { kind: 'confess', box, incarnation, rows }
		const retired = this.board.members.view.retired.find((entry) => entry.box === box)
		const after = retired?.incarnation ?? incarnation
		this.context.emit({ kind: 'restart', confession, after })
	}

	private isDrained(): boolean {
		const { log } = this.identity
		const safe = log.isSynced() && log.isSafe(log.lastTicket())
		return this.requests.isIdle() && this.money.allReturned() && safe
	}

	private stopStep(): void {
		if (this.board.roles.keeper && this.membership.othersStay()) this.membership.resign()
		if (!this.requests.isIdle()) return
		this.money.returnAll()
		if (this.isDrained() && this.board.members.view.number === 0) this.exit()
	}

	private exit(): void {
		this.membership.resign()
		this.exited = true
		this.context.log('stop-done', {})
		this.context.emit({ kind: 'exit' })
	}
}
