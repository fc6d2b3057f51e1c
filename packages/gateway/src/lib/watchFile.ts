import { statSync } from 'node:fs'

/** Time between two checks of the file, in ms. */
const POLL_INTERVAL_MS = 1_000

/** Calls back when the modification time of a file has changed. A missing file counts as time 0. @public */
export function watchFile(file: string, onChange: () => void): void {
	let lastModified = modifiedAt(file)
	setInterval(() => {
		const now = modifiedAt(file)
		if (now === lastModified) return
		lastModified = now
		onChange()
	}, POLL_INTERVAL_MS)
}

function modifiedAt(file: string): number {
	return statSync(file, { throwIfNoEntry: false })?.mtimeMs ?? 0
}
