/**
 * Returns the rows of a datagram `{"FIELD":[...]}`, or undefined if the bytes are another kind of message. Checks the
 * first bytes before parsing, because each box receives dozens of work datagrams a second from each other box.
 */
export function readDatagramRows(bytes: Buffer, field: string): readonly unknown[] | undefined {
	const prefix = Buffer.from(`{"${field}":`)
	if (!bytes.subarray(0, prefix.length).equals(prefix)) return undefined
	let message: unknown
	try {
		message = JSON.parse(bytes.toString('utf8'))
	} catch {
		// The datagram is truncated.
		return undefined
	}
	const rows = (message as Readonly<Record<string, unknown>>)[field]
	return Array.isArray(rows) ? (rows as unknown[]) : undefined
}
