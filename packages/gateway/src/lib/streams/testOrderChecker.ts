import type { ReceivedPiece, StreamLayout } from './testOrderStream.js'

/** A request as a target ran it. */
export interface OrderRun {
	readonly target: string
	readonly service: string
	readonly version: string
	readonly requestId: string
	/** Id of the last event that the request named. */
	readonly lastEventId: number | undefined
	/** The caller took the stream up, not a box within one answer. */
	readonly isTakenUpByCaller: boolean
}

/** One attempt of a caller. */
export interface CallerTry {
	readonly id: string
	readonly box: string
	readonly lastEventId: number | undefined
	readonly status: number
	readonly isComplete: boolean
	readonly pieces: readonly ReceivedPiece[]
}

/** A stream over the attempts of its caller. */
export interface CallerStream {
	readonly path: string
	readonly layout: StreamLayout
	readonly isResumable: boolean
	readonly tries: readonly CallerTry[]
}

/**
 * - `twice`, `missing`: a piece.
 * - `joined`: pieces of two runs without a lawful take-up.
 * - `versions`, `services`: pieces of targets of two software versions of a service, or of two services.
 * - `changed`: a piece does not have the bytes that its run wrote.
 * - `short`: an answer is complete before the last piece.
 */
export type OrderFault =
	'twice' | 'missing' | 'joined' | 'versions' | 'services' | 'changed' | 'short'

/** The faults of a stream, each named once. */
export function findOrderFaults(
	stream: CallerStream,
	runs: readonly OrderRun[],
): readonly OrderFault[] {
	const { isResumable, layout, tries } = stream
	const faults = new Set<OrderFault>()
	let next = 0
	let last: { readonly piece: ReceivedPiece; readonly run: OrderRun } | undefined
	for (const { id, isComplete, pieces, status } of tries) {
		for (const piece of pieces) {
			const run = runs[piece.run]
			if (!run) throw new Error(`no run ${piece.run}`)
			if (piece.index !== next) faults.add(piece.index < next ? 'twice' : 'missing')
			if (!piece.isIntact) faults.add('changed')
			if (run.requestId !== id) faults.add('joined')
			if (run !== last?.run && run.lastEventId !== last?.piece.id) faults.add('joined')
			if (last && run !== last.run && !isResumable) faults.add('joined')
			if (last && run.service !== last.run.service) faults.add('services')
			else if (last && run.version !== last.run.version) faults.add('versions')
			next = piece.index + 1
			last = { piece, run }
		}
		if (isComplete && status === 200 && next < layout.ids.length) faults.add('short')
	}
	return [...faults]
}

/** Describes each attempt of a stream, with its pieces by run. */
export function describeOrder(stream: CallerStream, runs: readonly OrderRun[]): string {
	const tries = stream.tries.map(({ box, id, isComplete, lastEventId, pieces, status }) => {
		const parts = piecesByRun(pieces).map(([first, last]) => {
			const run = runs[first.run]
			const writer = `run ${first.run} at ${run?.target} of ${run?.service} ${run?.version}`
			return `${first.index}-${last.index} of ${writer} after ${run?.lastEventId}`
		})
		const end = isComplete ? 'complete' : 'broken'
		return `  ${id} at ${box} after ${lastEventId}: ${status} ${end}: ${parts.join('; ')}`
	})
	const faults = findOrderFaults(stream, runs).join()
	return [`${faults}: ${stream.path} of ${stream.layout.ids.length} pieces`, ...tries].join('\n')
}

/** First and last piece of each sequence that one run wrote. */
function piecesByRun(
	pieces: readonly ReceivedPiece[],
): readonly (readonly [ReceivedPiece, ReceivedPiece])[] {
	const sequences: [ReceivedPiece, ReceivedPiece][] = []
	for (const piece of pieces) {
		const current = sequences.at(-1)
		const goesOn = current?.[1].run === piece.run && current[1].index + 1 === piece.index
		if (current && goesOn) current[1] = piece
		else sequences.push([piece, piece])
	}
	return sequences
}
