import { InputTimeout } from '@stallwing/store'
import type { SilenceListener } from './AttemptOptions.js'
import type { ResponseTimeouts } from './responseTimeouts.js'

export interface TargetSilenceOptions {
	readonly timeouts: ResponseTimeouts
	/** Undefined if silences are not reported. */
	readonly listener: SilenceListener | undefined
	/** Called when a silence is noticed, before it is reported for the first time. */
	readonly onNoticed: () => void
	/** Current delay of input on the link of this box, in ms: such input is not missing. */
	readonly linkDelayMs: () => number
	/** Monotonic clock, in ms. */
	readonly now: () => number
}

/** Interval at which a silence is reported again, in ms: what another attempt lacks may become available. */
const REPORT_INTERVAL_MS = 250

/** Notices when the target of an attempt has sent nothing for too long. */
export class TargetSilence {
	private readonly timeout = new InputTimeout(() => this.handleTimeout())
	private startedAt = 0
	/** Time of the last progress, or of the end of the last pause; undefined before a response head. */
	private lastProgressAt: number | undefined
	private isPaused = false
	private isReported = false

	constructor(private readonly options: TargetSilenceOptions) {}

	/** True if the target is silent and this was reported. */
	get wasReported(): boolean {
		return this.isReported
	}

	/** Time since the last progress, or since the start, in ms. */
	get silentMs(): number {
		return this.options.now() - (this.lastProgressAt ?? this.startedAt)
	}

	/** True if the target has stopped sending an answer that it had begun. */
	get isStalled(): boolean {
		if (this.lastProgressAt === undefined || this.isPaused) return false
		return this.silentMs > this.options.timeouts.idleMs
	}

	/** Must be called when the attempt starts. */
	start(): void {
		this.startedAt = this.options.now()
		this.startTimeout(this.options.timeouts.firstByteMs)
	}

	/** The target has sent a part of its answer. */
	noteProgress(): void {
		const isFirst = this.lastProgressAt === undefined
		this.lastProgressAt = this.options.now()
		if (isFirst || this.isReported) this.startTimeout(this.options.timeouts.idleMs)
		else this.timeout.refresh()
		if (!this.isReported) return
		this.isReported = false
		this.options.listener?.onResumed()
	}

	/** The target reads the body of the request. */
	noteBodyProgress(): void {
		this.timeout.refresh()
	}

	/** The answer is not read from now on: a target that is not read cannot be found silent. */
	pause(): void {
		this.isPaused = true
		this.timeout.stop()
	}

	/** The answer is read again. */
	resume(): void {
		if (!this.isPaused) return
		this.isPaused = false
		this.lastProgressAt = this.options.now()
		this.startTimeout(this.options.timeouts.idleMs)
	}

	/** Reports the silence again if it lasts. */
	report(): void {
		if (this.isReported) this.options.listener?.onSilent()
	}

	/** Must be called when the attempt has ended. */
	stop(): void {
		this.timeout.stop()
	}

	private startTimeout(ms: number): void {
		if (this.options.listener) this.timeout.start(ms + this.options.linkDelayMs())
	}

	private handleTimeout(): void {
		if (!this.isReported) {
			this.isReported = true
			this.options.onNoticed()
		}
		this.timeout.start(REPORT_INTERVAL_MS)
		this.report()
	}
}
