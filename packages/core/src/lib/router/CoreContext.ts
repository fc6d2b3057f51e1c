import type { OpId, PlatformOp, PlatformResult } from '../platform/PlatformOp.js'
import type { Millis } from '../units.js'
import type { BlackboardView } from './Blackboard.js'
import type { BoxConfig } from './BoxConfig.js'
import type { CoreAction } from './CoreAction.js'
import type { LogEventName, LogValue } from './LogEvent.js'
import type { PeerMessage } from './PeerMessage.js'
import type { Member } from '../membership/ZoneView.js'

/** Gives numbers in [0, 1). Passed in, so that a run can be repeated. @public */
export type RandomSource = () => number

/**
 * What every controller is given: the clock, random numbers, the blackboard to read, and a way to
 * ask the shell for things.
 * @public
 */
export class CoreContext {
	/** Time of the event in hand. */
	now: Millis = 0
	private actions: CoreAction[] = []
	private nextOpId: OpId = 1
	private readonly platformHandlers = new Map<OpId, (result: PlatformResult) => void>()

	constructor(
		readonly self: BoxConfig,
		readonly blackboard: BlackboardView,
		readonly random: RandomSource,
	) {}

	/** Asks the shell for something. */
	emit(action: CoreAction): void {
		this.actions.push(action)
	}

	/** Sends a message to a box of the zone. */
	send(to: Member, message: PeerMessage): void {
		this.emit({ kind: 'send', to: to.box, address: to.address, message })
	}

	/** Writes a numbered log line. */
	log(name: LogEventName, fields: Readonly<Record<string, LogValue>>): void {
		this.emit({ kind: 'log', event: { name, fields } })
	}

	/** Calls the platform; the handler runs when the reply event comes. */
	callPlatform(op: PlatformOp, onResult: (result: PlatformResult) => void): void {
		const opId = this.nextOpId++
		this.platformHandlers.set(opId, onResult)
		this.emit({ kind: 'platform', opId, op })
	}

	/** Hands a platform reply to whoever waits for it. */
	handlePlatformResult(opId: OpId, result: PlatformResult): void {
		const handler = this.platformHandlers.get(opId)
		if (!handler) return
		this.platformHandlers.delete(opId)
		handler(result)
	}

	/** Takes the actions gathered since the last call. */
	takeActions(): CoreAction[] {
		const gathered = this.actions
		this.actions = []
		return gathered
	}

	/** A short random text of letters and digits. */
	randomText(length: number): string {
		let text = ''
		while (text.length < length) text += Math.floor(this.random() * 36).toString(36)
		return text
	}
}
