import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import { brandId, type BoxName, type Incarnation, type PeerMessage } from '@stallwing/core'
import { PeerMessageSchema, type PeerMessage as WireMessage } from '../gen/stallwing/v1/peer_pb.js'

const NO_BOX = brandId<BoxName>('')
const NO_INCARNATION = brandId<Incarnation>('')

type WireCase = NonNullable<WireMessage['body']['case']>

/** `log-ack` in the core is `logAck` on the wire. */
function caseOf(kind: PeerMessage['kind']): WireCase {
	return kind.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase()) as WireCase
}

function kindOf(name: WireCase): PeerMessage['kind'] {
	return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`) as PeerMessage['kind']
}

type LogMessage = Extract<PeerMessage, { kind: 'log' }>

/** In a log, records of the sender's own runs leave its name out. */
function shorten(message: LogMessage): LogMessage {
	const { box, incarnation, records } = message.batch
	const short = records.map((record) => {
		const own = record.box === box && record.incarnation === incarnation
		return own ? { ...record, box: NO_BOX, incarnation: NO_INCARNATION } : record
	})
	return { ...message, batch: { ...message.batch, records: short } }
}

function lengthen(message: LogMessage): LogMessage {
	const { box, incarnation, records } = message.batch
	const long = records.map((record) => {
		return record.box === NO_BOX ? { ...record, box, incarnation } : record
	})
	return { ...message, batch: { ...message.batch, records: long } }
}

/** Makes the wire form of a message between boxes. Field names are the same on both sides. */
function toWire(message: PeerMessage): WireMessage {
	const { kind, ...value } = message.kind === 'log' ? shorten(message) : message
	const body = { case: caseOf(kind), value }
	return create(PeerMessageSchema, { body } as MessageInitShape<typeof PeerMessageSchema>)
}

function fromWire(wire: WireMessage): PeerMessage | undefined {
	const { body } = wire
	if (body.case === undefined) return undefined
	const message = { ...body.value, kind: kindOf(body.case) } as unknown as PeerMessage
	return message.kind === 'log' ? lengthen(message) : message
}

/** Bytes of a message between boxes. @public */
export function encodeMessage(message: PeerMessage): Uint8Array {
	return toBinary(PeerMessageSchema, toWire(message))
}

/** Reads the bytes of a message; undefined for a kind that this version does not know. @public */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
	return fromWire(fromBinary(PeerMessageSchema, bytes))
}
