import type { IncomingMessage } from 'node:http'
import type { ReplicatedDraws } from './DrawReplicator.js'
import { readBody } from './readBody.js'

/** Largest body that is read, in bytes: draws of thousands of accounts. */
const MAX_BODY_BYTES = 256 * 1024

/** Longest gap between two pieces of it, in ms: the box that tells has given up by then. */
const MAX_IDLE_MS = 1_000

/** Reads what another box told of its draws; undefined where the body is something else. */
export async function readReplicatedDraws(
	message: IncomingMessage,
): Promise<ReplicatedDraws | undefined> {
	const read = await readBody(message, MAX_BODY_BYTES, MAX_IDLE_MS)
	if (read.kind !== 'whole') return undefined
	try {
		const told = JSON.parse(read.body.toString('utf8')) as Partial<ReplicatedDraws> | null
		return told && isReplicatedDraws(told) ? told : undefined
	} catch {
		return undefined
	}
}

function isReplicatedDraws(told: Partial<ReplicatedDraws>): told is ReplicatedDraws {
	const { box, raised, revision } = told
	if (typeof box !== 'string' || typeof raised !== 'object' || raised === null) return false
	const numbers = [revision?.era, revision?.number, ...Object.values<number>(raised)]
	return numbers.every((number) => Number.isFinite(number))
}
