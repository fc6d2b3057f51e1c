import type { ServiceName } from '../ids.js'
import type { Millis } from '../units.js'
import { coldRate, type ColdLimits, type ColdStart } from './coldRate.js'
import { FleetRateGate, type FleetRate, type FleetRateGateOptions } from './FleetRateGate.js'
import { namedRate } from './namedRate.js'
import type { RateView } from './RateView.js'
import type { TargetEntry } from './TargetEntry.js'
import type { TargetState } from './TargetState.js'

/** Why a rate holds for a target: it is cold, or it named one in its answers. */
export type RateKind = 'cold' | 'named'

/** What {@link TargetRates} works with. @public */
export interface TargetRatesOptions extends FleetRateGateOptions {
	/** What the fleet may send to a cold target. */
	readonly coldLimits: ColdLimits
}

const KINDS: readonly RateKind[] = ['cold', 'named']

/** The rates that hold for targets, for all boxes together: of cold ones, and those that targets name. */
export class TargetRates {
	private readonly gates: Readonly<Record<RateKind, FleetRateGate>>

	constructor(
		private readonly options: TargetRatesOptions,
		/** How the targets of a service bear requests after a start; undefined where they bear all at once. */
		private readonly coldStartOf: (service: ServiceName) => ColdStart | undefined,
	) {
		this.gates = { cold: new FleetRateGate(options), named: new FleetRateGate(options) }
	}

	/** True where each rate that holds lets one more request by. Those for which it is counted already are not asked. */
	bearsOneMore(target: TargetState, now: Millis, counted: readonly RateKind[] = []): boolean {
		return KINDS.every((kind) => counted.includes(kind) || this.isOpen(kind, target, now))
	}

	/** Counts a request that goes to the target now for each rate that holds, once. */
	count(target: TargetState, now: Millis, counted: RateKind[]): void {
		for (const kind of KINDS) {
			const rate = this.rateOf(kind, target, now)
			if (!rate || counted.includes(kind)) continue
			this.gates[kind].take(target.entry.name, rate, now)
			counted.push(kind)
		}
	}

	/** A request that was counted did not leave: what it was counted for is free again, once. */
	giveBack({ name }: TargetEntry, counted: RateKind[]): void {
		for (const kind of counted.splice(0)) this.gates[kind].giveBack(name)
	}

	/** When the rate that a target named lets one more request by; -Infinity where it named none. */
	opensAt(target: TargetState, now: Millis): Millis {
		const rate = this.rateOf('named', target, now)
		if (!rate) return Number.NEGATIVE_INFINITY
		return this.gates.named.opensAt(target.entry.name, rate, now)
	}

	/** The rate that a target named, for operators; undefined where it named none. */
	viewOf(target: TargetState, now: Millis): RateView | undefined {
		const rate = this.rateOf('named', target, now)
		const said = target.notice.rate
		if (!rate || !said) return undefined
		const { name } = target.entry
		return {
			target: name,
			perSecond: said.perSecond,
			ageMs: now - said.saidAt,
			share: this.gates.named.shareOf(name, rate, now),
		}
	}

	/** The target named no rate any more. */
	forgetNamed({ name }: TargetEntry): void {
		this.gates.named.forget(name)
	}

	/** The target is gone, or started again. */
	forget({ name }: TargetEntry): void {
		for (const kind of KINDS) this.gates[kind].forget(name)
	}

	private isOpen(kind: RateKind, target: TargetState, now: Millis): boolean {
		const rate = this.rateOf(kind, target, now)
		return !rate || this.gates[kind].isOpen(target.entry.name, rate, now)
	}

	/** Undefined where none of this kind holds. */
	private rateOf(kind: RateKind, target: TargetState, now: Millis): FleetRate | undefined {
		if (kind === 'named') return target.notice.rate && namedRate(target.notice.rate)
		if (target.coldUntil <= now) return undefined
		const coldStart = this.coldStartOf(target.entry.service)
		return coldStart && coldRate(coldStart, this.options.coldLimits)
	}
}
