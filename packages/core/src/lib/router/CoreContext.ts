import type { OpId, PlatformOp, PlatformResult } from '../platform/PlatformOp.js'
import type { Millis } from '../units.js'
import type { BlackboardView } from './Blackboard.js'
import type { BoxConfig } from './BoxConfig.js'
import type { CoreAction } from './CoreAction.js'
import type { LogEventName, LogValue } from './LogEvent.js'
import type { PeerMessage } from './PeerMessage.js'
import type { Member } from '../membership/ZoneView.js'

/** Returns random numbers in [0, 1). Injected, so that a test can be repeated. @public */
export type RandomSource = () => number

/**
 * Context of all controllers: time, random numbers, the blackboard, and actions for the shell.
 * @public
 */
export class CoreContext {
	/** Time of the current event, in Unix ms. */
	now: Millis = 0
	private actions: CoreAction[] = []
	private nextOpId: OpId = 1
	private readonly platformHandlers = new Map<OpId, (result: PlatformResult) => void>()

	constructor(
		readonly self: BoxConfig,
		readonly blackboard: BlackboardView,
		readonly random: RandomSource,
	) {}

	/** Adds an action for the shell. */
	emit(action: CoreAction): void {
		this.actions.push(action)
	}

	send(to: Member, message: PeerMessage): void {
		this.emit({ kind: 'send', to: to.box, address: to.address, message })
	}

	/** Writes a log event. */
	log(name: LogEventName, fields: Readonly<Record<string, LogValue>>): void {
		this.emit({ kind: 'log', event: { name, fields } })
	}

	/** Calls the platform. The handler receives the result in a later event. */
	callPlatform(op: PlatformOp, onResult: (result: PlatformResult) => void): void {
		const opId = this.nextOpId++
		this.platformHandlers.set(opId, onResult)
		this.emit({ kind: 'platform', opId, op })
	}

	/** Passes the result of a platform call to its handler. */
	handlePlatformResult(opId: OpId, result: PlatformResult): void {
		const handler = this.platformHandlers.get(opId)
		if (!handler) return
		this.platformHandlers.delete(opId)
		handler(result)
	}

	/** Returns the actions added since the last call. */
	takeActions(): CoreAction[] {
		const actions = this.actions
		this.actions = []
		return actions
	}

	/** Returns a random string of lower-case letters and digits. */
	randomText(length: number): string {
		let text = ''
		while (text.length < length) text += Math.floor(this.random() * 36).toString(36)
		return text
	}
}
