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
 * - `refused`: nothing listens at its address.
 * - `no-answer`: the connection closed, or nothing came in time.
 */
export type HealthSign = 'answered' | 'other-target' | 'refused' | 'no-answer'

export interface HealthRequestOptions {
	readonly target: TargetEntry
	readonly path: string
	readonly dialect: Pick<Dialect, 'headers' | 'wrongTargetStatus'>
	/** Sends a request to a target. */
	readonly call: (request: PathRequest) => TargetCall
	readonly timeoutMs: number
}

const EMPTY = Buffer.alloc(0)

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
		this.resolve(this.isFromTarget(head) ? 'answered' : 'other-target')
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

	/** A target that is not the expected one says so by the status, or by its name. */
	private isFromTarget({ headers, status }: ResponseHead): boolean {
		const { dialect, target } = this.options
		if (status === dialect.wrongTargetStatus) return false
		const name = headers[dialect.headers.instance]
		return name === undefined || name === target.name
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
