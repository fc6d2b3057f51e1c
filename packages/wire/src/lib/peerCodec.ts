import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf'
import type { PeerMessage } from '@stallwing/core'
import { PeerMessageSchema, type PeerMessage as WireMessage } from '../gen/stallwing/v1/peer_pb.js'

type WireCase = NonNullable<WireMessage['body']['case']>

/** `log-ack` in the core is `logAck` on the wire. */
function caseOf(kind: PeerMessage['kind']): WireCase {
	return kind.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase()) as WireCase
}

function kindOf(name: WireCase): PeerMessage['kind'] {
	return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`) as PeerMessage['kind']
}

/** Makes the wire form of a message between boxes. Field names are the same on both sides. */
function toWire(message: PeerMessage): WireMessage {
	const { kind, ...value } = message
	const body = { case: caseOf(kind), value }
	return create(PeerMessageSchema, { body } as MessageInitShape<typeof PeerMessageSchema>)
}

function fromWire(wire: WireMessage): PeerMessage | undefined {
	const { body } = wire
	if (body.case === undefined) return undefined
	return { ...body.value, kind: kindOf(body.case) } as unknown as PeerMessage
}

/** Bytes of a message between boxes. @public */
export function encodeMessage(message: PeerMessage): Uint8Array {
	return toBinary(PeerMessageSchema, toWire(message))
}

/** Reads the bytes of a message; undefined for a kind that this version does not know. @public */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
	return fromWire(fromBinary(PeerMessageSchema, bytes))
}
