/** Messages between stallwing routers, and their generated code. */
export * from './gen/stallwing/v1/peer_pb.js'
export { decodeMessage, encodeMessage } from './lib/peerCodec.js'
