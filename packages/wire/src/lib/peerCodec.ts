import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import { brandId, type BoxName, type Incarnation, type PeerMessage } from '@stallwing/core'
import { PeerMessageSchema, type PeerMessage as WireMessage } from '../gen/stallwing/v1/peer_pb.js'

/** In log records, these stand for the box and the incarnation of the batch. */
const OMITTED_BOX = brandId<BoxName>('')
const OMITTED_INCARNATION = brandId<Incarnation>('')

type WireCase = NonNullable<WireMessage['body']['case']>

/** Returns the protobuf case of a message kind, such as `logAck` for `log-ack`. */
function toWireCase(kind: PeerMessage['kind']): WireCase {
	return kind.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase()) as WireCase
}

function fromWireCase(name: WireCase): PeerMessage['kind'] {
	return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`) as PeerMessage['kind']
}

type LogMessage = Extract<PeerMessage, { kind: 'log' }>

/** Shortens a log message: omits box and incarnation in the records that have those of the batch. */
function omitSenderIdentity(message: LogMessage): LogMessage {
	const { box, incarnation, records } = message.batch
	const shortened = records.map((record) => {
		const isOwn = record.box === box && record.incarnation === incarnation
		return isOwn ? { ...record, box: OMITTED_BOX, incarnation: OMITTED_INCARNATION } : record
	})
	return { ...message, batch: { ...message.batch, records: shortened } }
}

/** Reverses {@link omitSenderIdentity}. */
function restoreSenderIdentity(message: LogMessage): LogMessage {
	const { box, incarnation, records } = message.batch
	const restored = records.map((record) => {
		return record.box === OMITTED_BOX ? { ...record, box, incarnation } : record
	})
	return { ...message, batch: { ...message.batch, records: restored } }
}

/** Converts a message to its protobuf form, which has the same field names. */
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

/** Encodes a message between boxes. @public */
export function encodeMessage(message: PeerMessage): Uint8Array {
	return toBinary(PeerMessageSchema, toWire(message))
}

/** Decodes a message between boxes; undefined if this version does not know its kind. Throws if the bytes are malformed. @public */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
	return fromWire(fromBinary(PeerMessageSchema, bytes))
}
