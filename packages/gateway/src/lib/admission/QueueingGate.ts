import {
	ServiceAdmission,
	WorkEstimator,
	type AdmissionDecision,
	type AdmissionOutcome,
	type AdmissionRequest,
	type BoxDemand,
	type LogEvent,
	type Service,
	type ServiceName,
	type TargetRegistry,
} from '@stallwing/core'
import type { Metrics } from '@stallwing/telemetry'
import type { CallerRequest } from '../CallerRequest.js'
import type { ReportedPart } from '../ReportedPart.js'
import type { GateEntry, RequestGate } from './RequestGate.js'

export interface QueueingGateOptions {
	readonly registry: Pick<TargetRegistry, 'placeUse'>
	readonly boxCount: () => number
	readonly metrics: Metrics
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly random: () => number
	readonly log: (event: LogEvent) => void
}

/** Interval at which waiting requests are started or refused, in ms. */
const ADVANCE_INTERVAL_MS = 5
/** Age up to which the measured use of the places is used, in ms, while requests wait or many places are in use. */
const CONTENDED_USE_MAX_AGE_MS = 10
/** The same while most places are free. Measuring reads the state of all targets of the service. */
const USE_MAX_AGE_MS = 50
/** Time without a waiting request after which a service is no longer contended, in ms. */
const CONTENTION_END_MS = 2_000

/** The admission to one service, with what the gate measures for it. */
interface GatedService {
	readonly name: ServiceName
	readonly admission: ServiceAdmission
	readonly estimator: WorkEstimator
	/** Called with the outcome of each waiting request, by its ticket. */
	readonly waiting: Map<number, (outcome: AdmissionOutcome) => void>
	useMeasuredAt: number
	isContended: boolean
}

/**
 * Lets requests pass while their service has free places, and otherwise queues them by rank and account. Each request
 * passes it once, whatever the number of its attempts.
 */
export class QueueingGate implements RequestGate, ReportedPart {
	readonly name = 'admission'
	private readonly gated = new Map<ServiceName, GatedService>()
	private configured: ReadonlyMap<ServiceName, Service> = new Map()
	private timer: NodeJS.Timeout | undefined
	private isStopped = false

	constructor(private readonly options: QueueingGateOptions) {}

	setServices(services: readonly Service[]): void {
		this.configured = new Map(services.map((service) => [service.name, service]))
	}

	enter(request: CallerRequest, remainingMs: number): GateEntry {
		const now = this.options.now()
		const service = this.gatedService(request.service)
		this.measureUse(service, now)
		const { admission, estimator } = service
		const arrival = admissionRequestOf(request, remainingMs, estimator, now)
		const { ticket, outcome, displaced } = admission.enter(arrival, now)
		if (displaced) this.settle(service, displaced)
		if (outcome?.kind === 'refused') this.countRefusal(service, outcome.reason)
		if (outcome) return this.entryOf(service, request, ticket, outcome)
		const pending = new Promise<AdmissionOutcome>((resolve) => service.waiting.set(ticket, resolve))
		this.logQueued(service, arrival)
		this.timer ??= setInterval(() => this.advanceAll(), ADVANCE_INTERVAL_MS)
		return this.entryOf(service, request, ticket, pending)
	}

	/** Refuses all waiting requests and every later one, because the box stops. */
	stop(): void {
		this.isStopped = true
		for (const service of this.gated.values())
			for (const decision of service.admission.stop(this.options.now()))
				this.settle(service, decision)
		this.stopTimer()
	}

	/** Records what another box needs of the places of a service. */
	notePeerDemand(box: string, service: ServiceName, demand: BoxDemand): void {
		this.gatedService(service).admission.share.note(box, demand, this.options.now())
	}

	/** What this box needs of the places of each service that was contended within the last `withinMs`. */
	contendedDemands(withinMs: number): ReadonlyMap<ServiceName, BoxDemand> {
		const now = this.options.now()
		const demands = new Map<ServiceName, BoxDemand>()
		for (const { name, admission } of this.gated.values())
			if (now - admission.lastContentionAt < withinMs) demands.set(name, admission.boxDemand(now))
		return demands
	}

	gauges(): Readonly<Record<string, number>> {
		const gauges: Record<string, number> = {}
		for (const { name, admission } of this.gated.values()) {
			const { places, inUse, share, waiting } = admission.status(this.options.now())
			gauges[`stallwing_places{service="${name}"}`] = places
			gauges[`stallwing_places_in_use{service="${name}"}`] = inUse
			gauges[`stallwing_place_share{service="${name}"}`] = share
			for (const [rank, size] of waiting)
				gauges[`stallwing_requests_waiting{service="${name}",rank="${rank}"}`] = size
		}
		return gauges
	}

	status(): unknown {
		const now = this.options.now()
		return [...this.gated.values()].map(({ name, admission, isContended }) => {
			const { waiting, ...status } = admission.status(now)
			return { service: name, isContended, ...status, waiting: Object.fromEntries(waiting) }
		})
	}

	private gatedService(name: ServiceName): GatedService {
		const known = this.gated.get(name)
		if (known) return known
		const { boxCount, random } = this.options
		const service: GatedService = {
			name,
			admission: new ServiceAdmission({ boxCount, random }),
			estimator: new WorkEstimator(),
			waiting: new Map(),
			useMeasuredAt: Number.NEGATIVE_INFINITY,
			isContended: false,
		}
		if (this.isStopped) service.admission.stop(this.options.now())
		this.gated.set(name, service)
		return service
	}

	private measureUse(service: GatedService, now: number): void {
		const { admission, estimator, name } = service
		const maxAgeMs = admission.isUncontended ? USE_MAX_AGE_MS : CONTENDED_USE_MAX_AGE_MS
		if (now - service.useMeasuredAt < maxAgeMs) return
		service.useMeasuredAt = now
		const maxPerTarget = estimator.requestsInMemory(this.configured.get(name)?.memoryTokens)
		const use = this.options.registry.placeUse(name, now, maxPerTarget)
		// A box on its own knows all requests at the targets.
		admission.noteUse({ ...use, isKnown: use.isKnown || this.options.boxCount() === 1 })
	}

	private entryOf(
		service: GatedService,
		request: CallerRequest,
		ticket: number,
		outcome: GateEntry['outcome'],
	): GateEntry {
		let hasLeft = false
		return {
			outcome,
			leave: () => {
				if (hasLeft) return
				hasLeft = true
				this.leave(service, request, ticket)
			},
		}
	}

	private leave(service: GatedService, request: CallerRequest, ticket: number): void {
		const now = this.options.now()
		const heldMs = service.admission.leave(ticket, now)
		if (heldMs !== undefined) service.estimator.note(request.work, heldMs)
		const resolve = service.waiting.get(ticket)
		service.waiting.delete(ticket)
		// The exchange has ended, so its outcome has no effect.
		resolve?.({ kind: 'refused', reason: 'cannot-start-in-time', availableInMs: 0 })
		if (service.waiting.size > 0) this.advance(service, now)
	}

	private advanceAll(): void {
		const now = this.options.now()
		let isIdle = true
		for (const service of this.gated.values()) {
			if (service.waiting.size > 0) this.advance(service, now)
			if (service.isContended) this.endContention(service, now)
			if (service.isContended) isIdle = false
		}
		if (isIdle) this.stopTimer()
	}

	private advance(service: GatedService, now: number): void {
		this.measureUse(service, now)
		for (const decision of service.admission.advance(now)) this.settle(service, decision)
	}

	private settle(service: GatedService, decision: AdmissionDecision): void {
		const { ticket, request, outcome, waitedMs } = decision
		const resolve = service.waiting.get(ticket)
		service.waiting.delete(ticket)
		this.options.metrics.recordDuration('stallwing_place_wait_ms', waitedMs)
		if (outcome.kind === 'refused') {
			this.countRefusal(service, outcome.reason)
			if (outcome.reason === 'displaced') this.logDisplaced(request, waitedMs)
		}
		resolve?.(outcome)
	}

	private countRefusal({ name }: GatedService, reason: string): void {
		const labels = `service="${name}",reason="${reason}"`
		this.options.metrics.count('stallwing_place_refusals_total', labels)
	}

	private logQueued(service: GatedService, request: AdmissionRequest): void {
		const { name, admission } = service
		const now = this.options.now()
		const { places, inUse, share } = admission.status(now)
		const use = {
			service: name,
			places,
			inUse: Math.round(inUse),
			share: Math.round(share * 1_000) / 1_000,
			useAgeMs: Math.round(now - service.useMeasuredAt),
		}
		if (!service.isContended) {
			service.isContended = true
			this.options.log({ name: 'service-contended', fields: { ...use, isContended: true } })
		}
		this.options.log({
			name: 'request-queued',
			fields: {
				request: request.id,
				reason: 'no free place',
				rank: request.rank,
				account: request.account ?? '',
				...use,
				waiting: admission.waitingCount,
				expectedMs: Math.round(request.expectedWorkMs),
				leftMs: Math.round(request.latestStartAt - now),
			},
		})
	}

	private logDisplaced(request: AdmissionRequest, waitedMs: number): void {
		const { id, rank, account } = request
		const fields = { request: id, rank, account: account ?? '', waitedMs: Math.round(waitedMs) }
		this.options.log({ name: 'request-displaced', fields })
	}

	private endContention(service: GatedService, now: number): void {
		if (now - service.admission.lastContentionAt < CONTENTION_END_MS) return
		service.isContended = false
		const fields = { service: service.name, isContended: false }
		this.options.log({ name: 'service-contended', fields })
	}

	private stopTimer(): void {
		clearInterval(this.timer)
		this.timer = undefined
	}
}

/** Describes a request to its admission. `remainingMs` is the time until the caller or the route gives up. */
function admissionRequestOf(
	request: CallerRequest,
	remainingMs: number,
	estimator: WorkEstimator,
	now: number,
): AdmissionRequest {
	const { route, deadlineMs = Infinity } = request
	const { workMs, firstMs } = estimator.estimate(request.work)
	const elapsedMs = Math.min(route.timeoutMs, deadlineMs) - remainingMs
	const goalLeftMs = route.latencyGoalMs - elapsedMs
	return {
		id: request.id,
		service: request.service,
		account: request.account?.name,
		rank: request.rank,
		expectedWorkMs: workMs,
		latestStartAt: now + Math.min(remainingMs - workMs, goalLeftMs - firstMs),
		isEarlyReturn: false,
	}
}
