import { brandId, type BoxName, type TargetIncarnation, type TargetWork } from '@stallwing/core'

/** Work at targets, as one box tells it to another. */
export interface WorkMessage {
	readonly box: BoxName
	/** The work is that of several boxes which tell this one. */
	readonly isHub: boolean
	readonly work: readonly TargetWork[]
}

/** Life, unread tokens and open requests of a target. */
export type WireWork = readonly [string, number, number]

interface WireMessage {
	readonly box: string
	readonly hub: boolean
	readonly work: readonly WireWork[]
}

/** A datagram for a message. */
export function encodeWork({ box, isHub, work }: WorkMessage): string {
	const message: WireMessage = { box, hub: isHub, work: toWireWork(work) }
	return JSON.stringify(message)
}

/** Undefined where the bytes are something else. */
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

/** Rows as they go on the wire. */
export function toWireWork(work: readonly TargetWork[]): WireWork[] {
	return work.map((row) => [row.incarnation, Math.round(row.prefillTokens), row.openRequests])
}

/** Undefined where the document is no list of rows. */
export function fromWireWork(rows: unknown): TargetWork[] | undefined {
	if (!Array.isArray(rows)) return undefined
	return (rows as WireWork[]).map(([incarnation, prefillTokens, openRequests]) => ({
		incarnation: brandId<TargetIncarnation>(incarnation),
		prefillTokens,
		openRequests,
	}))
}
