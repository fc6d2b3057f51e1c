import { fnv1a } from '@stallwing/core'
import { seededRandom } from '../testFleet.js'

/** The content of a stream: the same at every target that runs it. */
export interface StreamLayout {
	/** Ids of the pieces, in order. */
	readonly ids: readonly number[]
	readonly newline: '\n' | '\r\n'
	/** Pieces before which a comment stands, by index. */
	readonly commented: ReadonlySet<number>
	/** The `id` field stands after the `data` field. */
	readonly isIdLast: boolean
	/** Bytes added to each piece. */
	readonly paddingBytes: number
}

/** A piece of a stream as its caller received it. */
export interface ReceivedPiece {
	readonly id: number
	/** Index in the stream, from 0. */
	readonly index: number
	/** Number of the run that wrote it. */
	readonly run: number
	/** Its bytes are those that the run wrote. */
	readonly isIntact: boolean
}

const MIN_PIECES = 16
const MAX_PIECES = 36
const MAX_ID_GAP = 30
const COMMENT_SHARE = 0.2
const LARGE_SHARE = 0.04
const LARGE_PIECE_BYTES = 150_000
const BLANK_LINE = /\r?\n\r?\n/

/** The layout of the stream that a request asks for, drawn from its path. */
export function streamLayoutOf(path: string): StreamLayout {
	const random = seededRandom(fnv1a(path) % 100_003)
	const count = MIN_PIECES + Math.floor(random() * (MAX_PIECES - MIN_PIECES))
	const gaps = [() => 1, () => 10, () => 1 + Math.floor(random() * MAX_ID_GAP)]
	const gapOf = gaps[Math.floor(random() * gaps.length)] ?? (() => 1)
	let last = 0
	const ids = Array.from({ length: count }, () => (last += gapOf()))
	const hasComments = random() < 0.5
	const commented = ids.flatMap((_, i) => (hasComments && random() < COMMENT_SHARE ? [i] : []))
	return {
		ids,
		newline: random() < 0.5 ? '\n' : '\r\n',
		commented: new Set(commented),
		isIdLast: random() < 0.3,
		paddingBytes: random() < LARGE_SHARE ? LARGE_PIECE_BYTES : 0,
	}
}

/** Index of the first piece after the one with this id. */
export function indexAfter({ ids }: StreamLayout, lastEventId: number | undefined): number {
	if (lastEventId === undefined) return 0
	const index = ids.findIndex((id) => id > lastEventId)
	return index < 0 ? ids.length : index
}

/** The bytes of a piece as a run writes it. */
export function pieceText(layout: StreamLayout, index: number, run: number): string {
	const { commented, isIdLast, newline, paddingBytes } = layout
	const id = `id: ${layout.ids[index]}`
	const data = [`data: ${index} ${run}`]
	if (paddingBytes > 0) data.push(`data: ${'x'.repeat(paddingBytes)}`)
	const lines = isIdLast ? [...data, id] : [id, ...data]
	const comment = commented.has(index) ? `: still here${newline}${newline}` : ''
	return `${comment}${lines.join(newline)}${newline}${newline}`
}

/** Splits what a caller received; an incomplete event at the end is dropped. */
export function readPieces(layout: StreamLayout, body: string): readonly ReceivedPiece[] {
	const blocks = body.split(BLANK_LINE).slice(0, -1)
	return blocks.flatMap((block) => {
		const data = /^data: (\d+) (\d+)/m.exec(block)
		if (!data) return []
		const [index, run] = [Number(data[1]), Number(data[2])]
		const id = Number(/^id: (\d+)/m.exec(block)?.[1] ?? NaN)
		const written = pieceText({ ...layout, commented: new Set() }, index, run)
		return [{ id, index, run, isIntact: written.trimEnd() === block }]
	})
}
