import * as E from 'fp-ts/lib/Either.js'
import type { AccountName, RequestId, TargetName, ZoneName } from '../ids.js'
import { mintKey, parseKey } from '../identity/IdempotencyKey.js'
import { keyOf, mayHaveRun, requestId, type IdentityRecord } from '../identity/IdentityRecord.js'
import { rendezvousFirst } from '../identity/rendezvous.js'
import { findMember, hasIncarnation, ownerOf, type Member } from '../membership/ZoneView.js'
import { maybeRun, notRun, type Refusal } from '../Refusal.js'
import { readRequest, type PricedRequest } from '../requests/readRequest.js'
import type { Run } from '../requests/Run.js'
import { RunAdvancer, type RunParts } from '../requests/RunAdvancer.js'
import { RunFinisher } from '../requests/RunFinisher.js'
import type { RunStore } from '../requests/RunStore.js'
import { isSettled } from '../router/Blackboard.js'
import type { CoreContext } from '../router/CoreContext.js'
import type { AttemptOutcome, CallerRequest, CoreEvent } from '../router/CoreEvent.js'
import { SECOND_MS, type Millis } from '../units.js'

const MAX_HOPS = 3
const MINT_TRIES = 256
const KEY_RANDOM_LENGTH = 12
const COME_BACK_MS: Millis = SECOND_MS

/** Where a request shall be served. */
type Place =
	| { readonly kind: 'here' }
	| { readonly kind: 'there'; readonly member: Member }
	| { readonly kind: 'nowhere'; readonly refusal: Refusal }

/**
 * Requests from their arrival to their end: who owns the key, whether it is a second try, and the
 * run itself, which {@link RunAdvancer} and {@link RunFinisher} take step by step.
 */
export class RequestController {
	private readonly context: CoreContext
	private readonly store: RunStore
	private readonly advancer: RunAdvancer
	private readonly finisher: RunFinisher
	/** Requests that wait until it is settled which box has which records. */
	private parked: CallerRequest[] = []

	constructor(private readonly parts: RunParts) {
		this.context = parts.context
		this.store = parts.store
		this.advancer = new RunAdvancer(parts)
		this.finisher = new RunFinisher(parts, this.advancer)
	}

	/** Runs what can go on after any event. */
	afterEvent(): void {
		this.placeParked()
		this.advancer.advanceAll()
		this.finisher.releaseSettled()
	}

	tick(): void {
		this.store.expire()
	}

	/**
	 * A new view may give a key to another box, which knows nothing of a run that is not claimed
	 * yet: such runs are taken back and placed anew once all records have arrived.
	 */
	onView(): void {
		for (const run of [...this.store.all()]) {
			if (run.stage !== 'admitting' || run.target !== undefined || run.attached) continue
			this.advancer.release(run)
			this.parked.push(...this.store.takeBack(run))
		}
	}

	/** True where no request of this box is under way. */
	isIdle(): boolean {
		for (const run of this.store.all()) if (run.stage !== 'done') return false
		return this.parked.length === 0
	}

	fence(): void {
		for (const request of this.parked)
			this.refuse(request, notRun('box-fenced', 'this box was fenced off', COME_BACK_MS))
		this.store.fenceAll()
	}

	onRequest(request: CallerRequest): void {
		const index = this.context.board.config.index
		if (!index) {
			this.refuse(request, notRun('not-ready', 'no configuration yet', COME_BACK_MS))
			return
		}
		if (this.context.board.members.stopping && request.hops === 0) {
			this.refuse(request, notRun('not-ready', 'this box is stopping', COME_BACK_MS))
			return
		}
		const priced = readRequest(index, request)
		if (E.isLeft(priced)) this.refuse(request, priced.left)
		else this.place(request, priced.right)
	}

	onCallerGone(event: Extract<CoreEvent, { kind: 'caller-gone' }>): void {
		const run = this.store.byCaller(event.callId)
		this.parked = this.parked.filter((request) => request.callId !== event.callId)
		if (!run) return
		this.store.leave(run, event.callId)
		if (run.calls.size > 0) return
		if (run.stage === 'admitting') {
			this.advancer.refuse(run, 'caller-gone', 'the caller hung up')
			return
		}
		if (run.stage !== 'running') return
		run.cancelling = true
		this.context.emit({ kind: 'cancel-attempt', runId: run.id, attempt: run.attempt })
	}

	onAttemptEnded(runId: RequestId, attempt: number, outcome: AttemptOutcome): void {
		const run = this.store.get(runId)
		if (run) this.finisher.onEnded(run, attempt, outcome)
	}

	onRelayFailed(event: Extract<CoreEvent, { kind: 'relay-failed' }>): void {
		const text = 'the box that owns the key cannot be reached'
		const refusal = event.notRun
			? notRun('owner-unreachable', text, COME_BACK_MS)
			: maybeRun('outcome-unknown', text, COME_BACK_MS)
		this.context.emit({ kind: 'refuse', callId: event.callId, refusal })
		this.context.log('request-refused', { type: refusal.type, run: refusal.run, message: text })
	}

	private place(request: CallerRequest, priced: PricedRequest): void {
		const account = priced.account.name
		const minted = request.idempotencyKey === undefined
		const key = request.idempotencyKey ?? this.mint()
		const id = requestId(account, key)
		if (this.joinLocal(request, id)) return
		if (this.isUnsettled(key, priced)) {
			this.parked.push(request)
			return
		}
		const place = this.findPlace(id, key, priced)
		if (place.kind === 'nowhere') this.refuse(request, place.refusal, id)
		else if (place.kind === 'there') this.relay(request, place.member, id, account, key)
		else this.serveHere(minted ? { ...request, minted } : request, priced, id)
	}

	/** True while records of keys of this zone may still be on their way to this box. */
	private isUnsettled(key: string, priced: PricedRequest): boolean {
		const { board, self } = this.context
		return this.homeZone(key, priced) === self.zone && !isSettled(board, self)
	}

	private placeParked(): void {
		const parked = this.parked
		if (parked.length === 0) return
		this.parked = []
		for (const request of parked) {
			if (this.context.now < request.deadline) this.onRequest(request)
			else this.refuse(request, notRun('not-ready', 'the zone changes its members', COME_BACK_MS))
		}
	}

	/** A key that this box owns itself, so that no other box need hear of it. */
	private mint(): string {
		const { box, zone } = this.context.self
		const { members } = this.context.board.members.view
		let key = ''
		for (let i = 0; i < MINT_TRIES; i++) {
			key = mintKey(zone, this.context.now, this.context.randomText(KEY_RANDOM_LENGTH))
			if (ownerOf(members, key)?.box === box) return key
		}
		return key
	}

	/** Joins a second try to a run of this box. False where it has none. */
	private joinLocal(request: CallerRequest, id: RequestId): boolean {
		const run = this.store.get(id)
		if (!run) return false
		if (run.bodyHash !== request.bodyHash) {
			this.refuse(request, notRun('key-reused', 'the key was used with another body'), id)
		} else if (run.cancelling) {
			const text = 'an earlier try is being cancelled'
			this.refuse(request, maybeRun('outcome-unknown', text, COME_BACK_MS), id)
		} else {
			this.store.join(run, request)
			this.context.log('request-joined', { request: id, stage: run.stage })
		}
		return true
	}

	private findPlace(id: RequestId, key: string, priced: PricedRequest): Place {
		const { zone, box } = this.context.self
		const home = this.homeZone(key, priced)
		const { view, zones } = this.context.board.members
		const members = home === zone ? view.members : (zones.get(home)?.members ?? [])
		if (home === zone) {
			const record = this.parts.identity.find(id)
			if (record) return this.placeOfRecord(record, members)
		}
		const owner = ownerOf(members, key)
		if (!owner) {
			const text = `home zone ${home} of the key cannot be reached`
			return { kind: 'nowhere', refusal: notRun('owner-unreachable', text, COME_BACK_MS) }
		}
		return owner.box === box && home === zone ? { kind: 'here' } : { kind: 'there', member: owner }
	}

	/** The box that ran it has the answer, as long as it lives. */
	private placeOfRecord(record: IdentityRecord, members: readonly Member[]): Place {
		const { box } = this.context.self
		const lives = hasIncarnation(members, record.box, record.incarnation)
		const member = findMember(members, record.box)
		// A void record holds nothing: the next turn is the present owner's.
		if (lives && member && record.state !== 'void')
			return record.box === box ? { kind: 'here' } : { kind: 'there', member }
		const owner = ownerOf(members, keyOf(record.id))
		if (!owner || owner.box === box) return { kind: 'here' }
		return { kind: 'there', member: owner }
	}

	private homeZone(key: string, priced: PricedRequest): ZoneName {
		const index = this.context.board.config.index
		const zones = index?.zones ?? []
		const parts = parseKey(key, zones)
		if (parts) return parts.zone
		const { homeZones } = priced.account
		const homes = homeZones.length > 0 ? homeZones : zones
		return rendezvousFirst(key, homes) ?? this.context.self.zone
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
			this.refuse(request, notRun('owner-unreachable', text, COME_BACK_MS), id)
			return
		}
		const { callId } = request
		const { box, address } = member
		this.context.emit({ kind: 'relay', callId, id, account, key, box, address })
		this.context.log('request-relayed', { request: id, to: box })
	}

	private serveHere(request: CallerRequest, priced: PricedRequest, id: RequestId): void {
		const record = this.parts.identity.find(id)
		if (record && record.bodyHash !== request.bodyHash) {
			this.refuse(request, notRun('key-reused', 'the key was used with another body'), id)
			return
		}
		const forgotten = this.parts.protections.forgotten && this.parts.identity.mayBeForgotten(id)
		if (!record && forgotten) {
			const text = 'an earlier try of this key may have run; its record was lost'
			this.refuse(request, maybeRun('outcome-unknown', text), id)
			return
		}
		const resumeAt = this.resumeTarget(record)
		if (record && !record.repeatable && mayHaveRun(record) && !resumeAt) {
			const text = 'an earlier try may have run, and may not be repeated'
			this.refuse(request, maybeRun('outcome-unknown', text), id)
			return
		}
		this.begin(request, priced, id, record, resumeAt)
	}

	/** The engine that may still have the answer of an earlier run. */
	private resumeTarget(record: IdentityRecord | undefined): TargetName | undefined {
		if (!record || record.state === 'void' || record.target === undefined) return undefined
		const state = this.context.board.targets.states.get(record.target)
		return state?.record.kind === 'engine' ? record.target : undefined
	}

	private begin(
		request: CallerRequest,
		priced: PricedRequest,
		id: RequestId,
		record: IdentityRecord | undefined,
		resumeAt: TargetName | undefined,
	): void {
		const ranBefore = mayHaveRun(record)
		const run: Run = {
			id,
			account: priced.account.name,
			budget: priced.budget,
			bodyHash: request.bodyHash,
			work: request.work,
			priority: request.priority,
			repeatable: request.repeatable && (record?.repeatable ?? true),
			minted: request.minted === true,
			deadline: request.deadline,
			startedAt: this.context.now,
			worst: priced.worst,
			maxOutputTokens: priced.maxOutputTokens,
			stage: 'admitting',
			firstCall: request.callId,
			calls: new Map([[request.callId, request]]),
			attached: false,
			reserved: false,
			committed: false,
			ticket: 0,
			attempt: 0,
			target: undefined,
			resumeAt,
			turn: (record?.turn ?? 0) + 1,
			priorBilled: record?.amount ?? 0,
			mayHaveRun: ranBefore,
			mayHaveRunBefore: ranBefore,
			charge: 0,
			endedAt: 0,
			waitingFor: undefined,
			waitingSince: this.context.now,
			tried: new Set(),
			cancelling: false,
		}
		if (!this.store.queue.add(run)) {
			this.refuse(request, notRun('overloaded', 'too many requests wait', COME_BACK_MS), id)
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
