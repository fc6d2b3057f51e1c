import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { writeInChunks } from './writeInChunks.js'

describe('writeInChunks', () => {
	let folder: string

	beforeEach(() => {
		folder = mkdtempSync(join(tmpdir(), 'chunks-'))
	})

	afterEach(() => rmSync(folder, { recursive: true }))

	it('writes a text that is longer than one chunk completely and in order', async () => {
		const file = join(folder, 'out')
		const descriptor = openSync(file, 'w')
		const text = Array.from({ length: 3_000 }, (_, i) => `line ${i} ä\n`).join('')
		await new Promise<void>((resolve) => writeInChunks(descriptor, text, resolve))
		closeSync(descriptor)
		expect(readFileSync(file, 'utf8')).toBe(text)
	})

	it('calls back when the write fails', async () => {
		const descriptor = openSync(join(folder, 'out'), 'w')
		closeSync(descriptor)
		await new Promise<void>((resolve) => writeInChunks(descriptor, 'lost', resolve))
	})
})
