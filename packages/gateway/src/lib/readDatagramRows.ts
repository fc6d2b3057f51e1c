/**
 * Rows of a datagram `{"FIELD":[...]}` of another box; undefined where the bytes are something else. Datagrams about
 * work, some dozens a second from each box, are told by their first bytes and not parsed here.
 */
export function readDatagramRows(bytes: Buffer, field: string): readonly unknown[] | undefined {
	const beginning = Buffer.from(`{"${field}":`)
	if (!bytes.subarray(0, beginning.length).equals(beginning)) return undefined
	let message: unknown
	try {
		message = JSON.parse(bytes.toString('utf8'))
	} catch {
		// It was cut short on its way.
		return undefined
	}
	const rows = (message as Readonly<Record<string, unknown>>)[field]
	return Array.isArray(rows) ? (rows as unknown[]) : undefined
}
