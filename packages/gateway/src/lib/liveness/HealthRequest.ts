import type { TargetEntry } from '@stallwing/core'
import { InputTimeout } from '@stallwing/store'
import type { Dialect } from '../Dialect.js'
import type { PathRequest } from '../forwarding/PathCall.js'
import type {
	ResponseHead,
	ResponseListener,
	TargetCall,
	TargetFailure,
	TargetRequest,
} from '../sendToTarget.js'

/**
 * What one health check of a target showed.
 * - `answered`: the target itself answered; with which status does not matter.
 * - `other-target`: another target answered at its address.
 * - `unnamed`: an answer came that does not say from which target.
 * - `refused`: nothing listens at its address.
 * - `no-answer`: the connection closed, or nothing came in time.
 */
export type HealthSign = 'answered' | 'other-target' | 'unnamed' | 'refused' | 'no-answer'

export interface HealthRequestOptions {
	readonly target: TargetEntry
	readonly path: string
	readonly dialect: Pick<Dialect, 'headers' | 'wrongTargetStatus'>
	/** Sends a request to a target. */
	readonly call: (request: PathRequest) => TargetCall
	readonly timeoutMs: number
}

const EMPTY = Buffer.alloc(0)
/** Status of a target that is full, unwell or leaving. */
const UNAVAILABLE = 503

/** Sends one health check. The response proves that the target was alive after the check was sent. */
export function requestHealth(options: HealthRequestOptions): Promise<HealthSign> {
	return new Promise((resolve) => new HealthRequest(options, resolve).start())
}

class HealthRequest implements ResponseListener {
	private call: TargetCall | undefined
	private readonly timeout = new InputTimeout(() => {
		this.call?.abort()
		this.resolve('no-answer')
	})

	constructor(
		private readonly options: HealthRequestOptions,
		private readonly resolve: (sign: HealthSign) => void,
	) {}

	start(): void {
		const { call, target, timeoutMs } = this.options
		this.timeout.start(timeoutMs)
		this.call = call({
			target,
			message: this.message,
			listener: this,
			silenceMs: timeoutMs,
			bodyStallMs: undefined,
		})
	}

	maySend(): Promise<boolean> {
		return Promise.resolve(true)
	}

	onHead(head: ResponseHead): boolean {
		// A late answer to an earlier request on this connection does not show that the target is alive now.
		if (head.headers[this.options.dialect.headers.requestId]) return false
		this.resolve(this.signOf(head))
		return true
	}

	onData(): number {
		return 1
	}

	onEnd(): void {
		this.timeout.stop()
	}

	onFailure({ cause }: TargetFailure): void {
		this.timeout.stop()
		this.resolve(cause === 'ECONNREFUSED' ? 'refused' : 'no-answer')
	}

	private signOf({ headers, status }: ResponseHead): HealthSign {
		const { dialect, target } = this.options
		if (status === dialect.wrongTargetStatus) return 'other-target'
		const name = headers[dialect.headers.instance]
		if (name !== undefined) return name === target.name ? 'answered' : 'other-target'
		// A rejection needs no name, because another target would have said so by the status.
		const isRejection = status === UNAVAILABLE || headers[dialect.headers.notRun] !== undefined
		return isRejection ? 'answered' : 'unnamed'
	}

	private get message(): TargetRequest {
		const { dialect, path, target } = this.options
		const headers = [
			'Host',
			target.address,
			dialect.headers.expectedTarget,
			target.name,
			'Connection',
			'keep-alive',
		]
		return { method: 'GET', path, headers, body: EMPTY }
	}
}
