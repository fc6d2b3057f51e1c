import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import { brandId, type BoxName, type Incarnation, type PeerMessage } from '@stallwing/core'
import { PeerMessageSchema, type PeerMessage as WireMessage } from '../gen/stallwing/v1/peer_pb.js'

const OMITTED_BOX = brandId<BoxName>('')
const OMITTED_INCARNATION = brandId<Incarnation>('')

type WireCase = NonNullable<WireMessage['body']['case']>

/** `log-ack` in the core is `logAck` on the wire. */
function toWireCase(kind: PeerMessage['kind']): WireCase {
	return kind.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase()) as WireCase
}

function fromWireCase(name: WireCase): PeerMessage['kind'] {
	return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`) as PeerMessage['kind']
}

type LogMessage = Extract<PeerMessage, { kind: 'log' }>

/** In a log, records of the sender's own runs leave its name out. */
function omitSenderIdentity(message: LogMessage): LogMessage {
	const { box, incarnation, records } = message.batch
	const short = records.map((record) => {
		const own = record.box === box && record.incarnation === incarnation
		return own ? { ...record, box: OMITTED_BOX, incarnation: OMITTED_INCARNATION } : record
	})
	return { ...message, batch: { ...message.batch, records: short } }
}

function restoreSenderIdentity(message: LogMessage): LogMessage {
	const { box, incarnation, records } = message.batch
	const long = records.map((record) => {
		return record.box === OMITTED_BOX ? { ...record, box, incarnation } : record
	})
	return { ...message, batch: { ...message.batch, records: long } }
}

/** Makes the wire form of a message between boxes. Field names are the same on both sides. */
function toWire(message: PeerMessage): WireMessage {
	const { kind, ...value } = message.kind === 'log' ? omitSenderIdentity(message) : message
	const body = { case: toWireCase(kind), value }
	return create(PeerMessageSchema, { body } as MessageInitShape<typeof PeerMessageSchema>)
}

function fromWire(wire: WireMessage): PeerMessage | undefined {
	const { body } = wire
	if (body.case === undefined) return undefined
	const message = { ...body.value, kind: fromWireCase(body.case) } as unknown as PeerMessage
	return message.kind === 'log' ? restoreSenderIdentity(message) : message
}

/** Bytes of a message between boxes. @public */
export function encodeMessage(message: PeerMessage): Uint8Array {
	return toBinary(PeerMessageSchema, toWire(message))
}

/** Reads the bytes of a message; undefined for a kind that this version does not know. @public */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
	return fromWire(fromBinary(PeerMessageSchema, bytes))
}
