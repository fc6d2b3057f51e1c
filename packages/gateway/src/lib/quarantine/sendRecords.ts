import type { PeerDatagrams } from '../PeerDatagrams.js'

/** About 1,200 bytes, so that datagrams are not fragmented. */
const MAX_RECORDS_PER_DATAGRAM = 4

/** Sends records to other boxes, a few in each datagram. `encode` makes the text of one. */
export function sendRecords<T>(
	records: readonly T[],
	peers: readonly string[],
	datagrams: Pick<PeerDatagrams, 'send'>,
	encode: (records: readonly T[]) => string,
): void {
	for (let i = 0; i < records.length; i += MAX_RECORDS_PER_DATAGRAM) {
		const bytes = Buffer.from(encode(records.slice(i, i + MAX_RECORDS_PER_DATAGRAM)))
		for (const peer of peers) datagrams.send(bytes, peer)
	}
}
