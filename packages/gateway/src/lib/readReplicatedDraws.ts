import type { IncomingMessage } from 'node:http'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { readBody } from './readBody.js'

const LIMITS = {
	/** Enough for the draws of thousands of accounts. */
	maxBodyBytes: 256 * 1024,
	/** The sending box has timed out by then. */
	idleTimeoutMs: 1_000,
}

/** Reads the draws that another box sends; resolves to undefined if the body is incomplete or invalid. */
export async function readReplicatedDraws(
	message: IncomingMessage,
): Promise<ReplicatedDraws | undefined> {
	const read = await readBody(message, { limits: LIMITS })
	if (read.kind !== 'whole') return undefined
	try {
		const draws = JSON.parse(read.body.toString('utf8')) as Partial<ReplicatedDraws> | null
		return draws && isReplicatedDraws(draws) ? draws : undefined
	} catch {
		return undefined
	}
}

function isReplicatedDraws(draws: Partial<ReplicatedDraws>): draws is ReplicatedDraws {
	const { box, raised, revision } = draws
	if (typeof box !== 'string' || typeof raised !== 'object' || raised === null) return false
	const numbers = [revision?.era, revision?.number, ...Object.values<number>(raised)]
	return numbers.every((number) => Number.isFinite(number))
}
