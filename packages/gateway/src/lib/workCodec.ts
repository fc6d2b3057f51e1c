import { brandId, type BoxName, type TargetIncarnation, type TargetWork } from '@stallwing/core'

/** Work in progress at targets, as one box reports it to another. */
export interface WorkMessage {
	readonly box: BoxName
	/** True if the sender is a hub. Its work then includes that of the boxes that report to it. */
	readonly isHub: boolean
	readonly work: readonly TargetWork[]
}

/** Incarnation, prefill tokens and open requests of a target. */
export type WireWork = readonly [string, number, number]

interface WireMessage {
	readonly box: string
	readonly hub: boolean
	readonly work: readonly WireWork[]
}

/** Encodes a message as a datagram. */
export function encodeWork({ box, isHub, work }: WorkMessage): string {
	const message: WireMessage = { box, hub: isHub, work: toWireWork(work) }
	return JSON.stringify(message)
}

/** Returns undefined if the bytes are another kind of message. */
export function decodeWork(bytes: Buffer): WorkMessage | undefined {
	try {
		const message = JSON.parse(bytes.toString('utf8')) as Partial<WireMessage>
		if (typeof message.box !== 'string') return undefined
		const work = fromWireWork(message.work)
		return work && { box: brandId<BoxName>(message.box), isHub: message.hub === true, work }
	} catch {
		return undefined
	}
}

export function toWireWork(work: readonly TargetWork[]): WireWork[] {
	return work.map((row) => [row.incarnation, Math.round(row.prefillTokens), row.openRequests])
}

/** Returns undefined if the value is not a list. */
export function fromWireWork(rows: unknown): TargetWork[] | undefined {
	if (!Array.isArray(rows)) return undefined
	return (rows as WireWork[]).map(([incarnation, prefillTokens, openRequests]) => ({
		incarnation: brandId<TargetIncarnation>(incarnation),
		prefillTokens,
		openRequests,
	}))
}
