/** Protobuf messages between boxes: generated types, encoding and decoding. */
export * from './gen/stallwing/v1/peer_pb.js'
export { decodeMessage, encodeMessage } from './lib/peerCodec.js'
