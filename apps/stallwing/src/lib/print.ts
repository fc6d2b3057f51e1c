/** Prints a line to standard output. */
export function print(text: string): void {
	process.stdout.write(`${text}\n`)
}

/** Prints a value as JSON, indented on a terminal. */
export function printJson(value: unknown): void {
	print(JSON.stringify(value, null, process.stdout.isTTY ? 2 : 0))
}

/** Prints rows as a table with aligned columns. */
export function printTable(head: readonly string[], rows: readonly (readonly string[])[]): void {
	const widths = head.map((title, i) => {
		return Math.max(title.length, ...rows.map((row) => (row[i] ?? '').length))
	})
	for (const row of [head, ...rows])
		print(
			row
				.map((cell, i) => cell.padEnd(widths[i] ?? 0))
				.join('  ')
				.trimEnd(),
		)
}
