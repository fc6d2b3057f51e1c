import { statSync } from 'node:fs'

/** Time between two looks at the file, in ms. */
const POLL_INTERVAL_MS = 1_000

/** Calls back when the modification time of a file has changed; a file that is missing has none. @public */
export function watchFile(file: string, changed: () => void): void {
	let known = modifiedAt(file)
	setInterval(() => {
		const now = modifiedAt(file)
		if (now === known) return
		known = now
		changed()
	}, POLL_INTERVAL_MS)
}

function modifiedAt(file: string): number {
	return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0
}
