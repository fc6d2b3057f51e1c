/** Writes what was sent, answered and run to record.txt, and runs a case with its exit code. */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

export const EXIT = { held: 0, broken: 1, notRun: 2 }

export class Record {
	startedAt = performance.now()

	constructor(file) {
		this.file = file
		writeFileSync(file, '')
	}

	note(text) {
		const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3)
		appendFileSync(this.file, `${seconds.padStart(8)} ${text}\n`)
	}
}

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, limitS, run) {
	const record = new Record(join(folder, 'record.txt'))
	const work = mkdtempSync(join(tmpdir(), 'review-'))
	const ends = []
	const trouble = process.env.TROUBLE !== '0'
	record.note(`trouble: ${trouble ? 'yes' : 'no'}`)
	const limit = new Promise((_, reject) => {
		setTimeout(() => reject(new Error(`over ${limitS} s`)), limitS * 1000).unref()
	})
	let code = EXIT.notRun
	try {
		const breaches = await Promise.race([
			run({ record, work, trouble, onEnd: (end) => ends.push(end) }),
			limit,
		])
		code = breaches ? EXIT.broken : EXIT.held
	} catch (error) {
		record.note(`the case could not run: ${error.stack ?? error}`)
	}
	for (const end of ends.reverse()) await end()
	record.note(`exit ${code}`)
	rmSync(work, { recursive: true, force: true })
	process.exit(code)
}
