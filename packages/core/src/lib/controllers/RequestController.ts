import * as E from 'fp-ts/lib/Either.js'
import type { AccountName, RequestId, TargetName, ZoneName } from '../ids.js'
import { mintKey, parseKey } from '../identity/IdempotencyKey.js'
import {
	keyOf,
	mayHaveRun,
	requestId,
	type IdempotencyRecord,
} from '../identity/IdempotencyRecord.js'
import { rendezvousFirst } from '../identity/rendezvous.js'
import { findMember, hasIncarnation, ownerOf, type Member } from '../membership/ZoneView.js'
import { maybeRun, notRun, type Refusal } from '../Refusal.js'
import { priceRequest, type PricedRequest } from '../requests/priceRequest.js'
import type { Run } from '../requests/Run.js'
import { RunAdmission, type RunDependencies } from '../requests/RunAdmission.js'
import { RunFinisher } from '../requests/RunFinisher.js'
import type { RunStore } from '../requests/RunStore.js'
import { isServingMember } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { AttemptOutcome, CallerRequest, CoreEvent } from '../router/CoreEvent.js'
import { SECOND_MS, type Millis } from '../units.js'

const MAX_HOPS = 3
const MAX_MINT_ATTEMPTS = 256
const KEY_RANDOM_LENGTH = 12
const RETRY_AFTER_MS: Millis = SECOND_MS

/** Box that serves a request: this one, another one, or none. */
type ServingBox =
	| { readonly kind: 'here' }
	| { readonly kind: 'there'; readonly member: Member }
	| { readonly kind: 'nowhere'; readonly refusal: Refusal }

/**
 * Handles the requests of callers: finds the box that owns the key, joins repeated requests to their run, and creates
 * runs, which {@link RunAdmission} and {@link RunFinisher} process.
 */
export class RequestController {
	private readonly context: CoreContext
	private readonly store: RunStore
	private readonly admission: RunAdmission
	private readonly finisher: RunFinisher
	/** Requests that wait until this box holds the records of its keys. */
	private deferred: CallerRequest[] = []

	constructor(private readonly dependencies: RunDependencies) {
		this.context = dependencies.context
		this.store = dependencies.store
		this.admission = new RunAdmission(dependencies)
		this.finisher = new RunFinisher(dependencies, this.admission)
	}

	/** Advances requests and runs as far as possible. Called after each event. */
	afterEvent(): void {
		this.retryDeferred()
		this.admission.advanceAll()
		this.finisher.releaseAnswers()
	}

	tick(): void {
		this.store.expireAnswers()
	}

	/**
	 * Withdraws runs that are not claimed yet and routes their requests again once all records have arrived, since another
	 * box may own their keys in the new view.
	 */
	onViewChange(): void {
		for (const run of [...this.store.runs()]) {
			if (run.stage !== 'admitting' || run.target !== undefined || run.isAttached) continue
			this.admission.release(run)
			this.deferred.push(...this.store.withdraw(run))
		}
	}

	/** True if this box has no unfinished requests. */
	isIdle(): boolean {
		for (const run of this.store.runs()) if (run.stage !== 'done') return false
		return this.deferred.length === 0
	}

	/** Refuses all unfinished requests, since this incarnation is fenced. */
	refuseAll(): void {
		for (const request of this.deferred)
			this.refuse(request, notRun('box-fenced', 'this box was fenced off', RETRY_AFTER_MS))
		this.store.failAll()
	}

	onRequest(request: CallerRequest): void {
		const index = this.context.blackboard.config.index
		if (!index) {
			this.refuse(request, notRun('not-ready', 'no configuration yet', RETRY_AFTER_MS))
			return
		}
		if (this.context.blackboard.members.isStopping && request.hops === 0) {
			this.refuse(request, notRun('not-ready', 'this box is stopping', RETRY_AFTER_MS))
			return
		}
		const priced = priceRequest(index, request)
		if (E.isLeft(priced)) this.refuse(request, priced.left)
		else this.routeRequest(request, priced.right)
	}

	onCallerGone(event: Extract<CoreEvent, { kind: 'caller-gone' }>): void {
		const run = this.store.findByCall(event.callId)
		this.deferred = this.deferred.filter((request) => request.callId !== event.callId)
		if (!run) return
		this.store.removeCaller(run, event.callId)
		if (run.callers.size > 0) return
		if (run.stage === 'admitting') {
			this.admission.refuse(run, 'caller-gone', 'the caller hung up')
			return
		}
		if (run.stage !== 'running') return
		run.isCancelling = true
		this.context.emit({ kind: 'cancel-attempt', runId: run.id, attempt: run.attempt })
	}

	onAttemptEnded(runId: RequestId, attempt: number, outcome: AttemptOutcome): void {
		const run = this.store.get(runId)
		if (run) this.finisher.onAttemptEnded(run, attempt, outcome)
	}

	onRelayFailed(event: Extract<CoreEvent, { kind: 'relay-failed' }>): void {
		const text = 'the box that owns the key cannot be reached'
		const refusal = event.notRun
			? notRun('owner-unreachable', text, RETRY_AFTER_MS)
			: maybeRun('outcome-unknown', text, RETRY_AFTER_MS)
		this.context.emit({ kind: 'refuse', callId: event.callId, refusal })
		this.context.log('request-refused', { type: refusal.type, run: refusal.run, message: text })
	}

	private routeRequest(request: CallerRequest, priced: PricedRequest): void {
		const account = priced.account.name
		const hasMintedKey = request.idempotencyKey === undefined
		const key = request.idempotencyKey ?? this.mintOwnedKey()
		const id = requestId(account, key)
		if (this.joinRun(request, id)) return
		if (this.awaitsRecords(key, priced)) {
			this.deferred.push(request)
			return
		}
		const servingBox = this.findServingBox(id, key, priced)
		if (servingBox.kind === 'nowhere') this.refuse(request, servingBox.refusal, id)
		else if (servingBox.kind === 'there') this.relay(request, servingBox.member, id, account, key)
		else this.serveLocally(hasMintedKey ? { ...request, hasMintedKey } : request, priced, id)
	}

	/** True while this box may not have received the record of the key yet. */
	private awaitsRecords(key: string, priced: PricedRequest): boolean {
		const { blackboard, self } = this.context
		return this.homeZoneOf(key, priced) === self.zone && !isServingMember(blackboard, self)
	}

	private retryDeferred(): void {
		const requests = this.deferred
		if (requests.length === 0) return
		this.deferred = []
		for (const request of requests) {
			if (this.context.now < request.deadline) this.onRequest(request)
			else this.refuse(request, notRun('not-ready', 'the zone changes its members', RETRY_AFTER_MS))
		}
	}

	/** Creates a key that this box owns, so that the request is not relayed. */
	private mintOwnedKey(): string {
		const { box, zone } = this.context.self
		const { members } = this.context.blackboard.members.view
		let key = ''
		for (let i = 0; i < MAX_MINT_ATTEMPTS; i++) {
			key = mintKey(zone, this.context.now, this.context.randomText(KEY_RANDOM_LENGTH))
			if (ownerOf(members, key)?.box === box) return key
		}
		return key
	}

	/** Joins a repeated request to the run of its id. Returns false if this box has no such run. */
	private joinRun(request: CallerRequest, id: RequestId): boolean {
		const run = this.store.get(id)
		if (!run) return false
		if (run.bodyHash !== request.bodyHash) {
			this.refuse(request, notRun('key-reused', 'the key was used with another body'), id)
		} else if (run.isCancelling) {
			const text = 'an earlier try is being cancelled'
			this.refuse(request, maybeRun('outcome-unknown', text, RETRY_AFTER_MS), id)
		} else {
			this.store.addCaller(run, request)
			this.context.log('request-joined', { request: id, stage: run.stage })
		}
		return true
	}

	private findServingBox(id: RequestId, key: string, priced: PricedRequest): ServingBox {
		const { zone, box } = this.context.self
		const homeZone = this.homeZoneOf(key, priced)
		const { view, zones } = this.context.blackboard.members
		const members = homeZone === zone ? view.members : (zones.get(homeZone)?.members ?? [])
		if (homeZone === zone) {
			const record = this.dependencies.idempotency.find(id)
			if (record) return this.servingBoxOfRecord(record, members)
		}
		const owner = ownerOf(members, key)
		if (!owner) {
			const text = `home zone ${homeZone} of the key cannot be reached`
			return { kind: 'nowhere', refusal: notRun('owner-unreachable', text, RETRY_AFTER_MS) }
		}
		return owner.box === box && homeZone === zone
			? { kind: 'here' }
			: { kind: 'there', member: owner }
	}

	/** The box that ran the request if it is still a member, since it has the answer; otherwise the owner of the key. */
	private servingBoxOfRecord(record: IdempotencyRecord, members: readonly Member[]): ServingBox {
		const { box } = this.context.self
		const isMember = hasIncarnation(members, record.box, record.incarnation)
		const member = findMember(members, record.box)
		// The box of a void record has no answer, so the owner of the key makes the next claim.
		if (isMember && member && record.state !== 'void')
			return record.box === box ? { kind: 'here' } : { kind: 'there', member }
		const owner = ownerOf(members, keyOf(record.id))
		if (!owner || owner.box === box) return { kind: 'here' }
		return { kind: 'there', member: owner }
	}

	private homeZoneOf(key: string, priced: PricedRequest): ZoneName {
		const index = this.context.blackboard.config.index
		const zones = index?.zones ?? []
		const keyParts = parseKey(key, zones)
		if (keyParts) return keyParts.zone
		const { homeZones } = priced.account
		const candidates = homeZones.length > 0 ? homeZones : zones
		return rendezvousFirst(key, candidates) ?? this.context.self.zone
	}

	private relay(
		request: CallerRequest,
		member: Member,
		id: RequestId,
		account: AccountName,
		key: string,
	): void {
		if (request.hops >= MAX_HOPS) {
			const text = 'the boxes do not agree on the owner of the key'
			this.refuse(request, notRun('owner-unreachable', text, RETRY_AFTER_MS), id)
			return
		}
		const { callId } = request
		const { box, address } = member
		this.context.emit({ kind: 'relay', callId, id, account, key, box, address })
		this.context.log('request-relayed', { request: id, to: box })
	}

	/** Creates a run, or refuses a request that may have run before and must not be repeated. */
	private serveLocally(request: CallerRequest, priced: PricedRequest, id: RequestId): void {
		const record = this.dependencies.idempotency.find(id)
		if (record && record.bodyHash !== request.bodyHash) {
			this.refuse(request, notRun('key-reused', 'the key was used with another body'), id)
			return
		}
		const mayHaveLostRecord =
			this.dependencies.protections.forgotten && this.dependencies.idempotency.mayHaveLostRecord(id)
		if (!record && mayHaveLostRecord) {
			const text = 'an earlier try of this key may have run; its record was lost'
			this.refuse(request, maybeRun('outcome-unknown', text), id)
			return
		}
		const resumeTarget = this.findResumeTarget(record)
		if (record && !record.repeatable && mayHaveRun(record) && !resumeTarget) {
			const text = 'an earlier try may have run, and may not be repeated'
			this.refuse(request, maybeRun('outcome-unknown', text), id)
			return
		}
		this.createRun(request, priced, id, record, resumeTarget)
	}

	/** Returns the engine that may still have the answer of an earlier run. */
	private findResumeTarget(record: IdempotencyRecord | undefined): TargetName | undefined {
		if (!record || record.state === 'void' || record.target === undefined) return undefined
		const state = this.context.blackboard.targets.states.get(record.target)
		return state?.record.kind === 'engine' ? record.target : undefined
	}

	private createRun(
		request: CallerRequest,
		priced: PricedRequest,
		id: RequestId,
		record: IdempotencyRecord | undefined,
		resumeTarget: TargetName | undefined,
	): void {
		const mayHaveRunEarlier = mayHaveRun(record)
		const run: Run = {
			id,
			account: priced.account.name,
			budget: priced.budget,
			bodyHash: request.bodyHash,
			work: request.work,
			priority: request.priority,
			repeatable: request.repeatable && (record?.repeatable ?? true),
			hasMintedKey: request.hasMintedKey === true,
			deadline: request.deadline,
			startedAt: this.context.now,
			maxCharge: priced.maxCharge,
			maxOutputTokens: priced.maxOutputTokens,
			stage: 'admitting',
			firstCallId: request.callId,
			callers: new Map([[request.callId, request]]),
			isAttached: false,
			isReserved: false,
			isCommitted: false,
			logPosition: 0,
			attempt: 0,
			target: undefined,
			resumeTarget,
			turn: (record?.turn ?? 0) + 1,
			previouslyBilled: record?.amount ?? 0,
			mayHaveRun: mayHaveRunEarlier,
			mayHaveRunEarlier,
			charge: 0,
			endedAt: 0,
			waitingFor: undefined,
			waitingSince: this.context.now,
			triedTargets: new Set(),
			isCancelling: false,
		}
		if (!this.store.queue.add(run)) {
			this.refuse(request, notRun('overloaded', 'too many requests wait', RETRY_AFTER_MS), id)
			return
		}
		this.store.add(run)
	}

	private refuse(request: CallerRequest, refusal: Refusal, id?: RequestId): void {
		const { callId } = request
		this.context.emit({ kind: 'refuse', callId, refusal, ...(id === undefined ? {} : { id }) })
		this.context.log('request-refused', {
			request: id ?? '',
			type: refusal.type,
			run: refusal.run,
			message: refusal.message,
		})
	}
}
