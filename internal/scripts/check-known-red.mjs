// Decides what failed tests mean for CI, from the JSON report of vitest: passes over the tests that
// KNOWN-RED.txt lists, and over no others. Usage: node check-known-red.mjs REPORT
// A line of KNOWN-RED.txt: FILE > NAME | cause | issue | command and seed | what was seen
import { existsSync, readFileSync } from 'node:fs'
import { relative } from 'node:path'

const MOST_LISTED = 3

const [reportFile = ''] = process.argv.slice(2)
const report = JSON.parse(readFileSync(reportFile, 'utf8'))
const listed = readListed()
const failed = report.testResults.flatMap(failuresOf)
const known = failed.filter((test) => listed.has(test))
const unknown = failed.filter((test) => !listed.has(test))
const mended = [...listed.keys()].filter((test) => !failed.includes(test))

for (const test of known) console.log(`known red: ${test} | ${listed.get(test)}`)
for (const test of unknown) console.log(`FAILED: ${test}`)
for (const test of mended) console.log(`FAILED: passes and is still listed as known red: ${test}`)
if (listed.size > MOST_LISTED) console.log(`FAILED: more than ${MOST_LISTED} tests are listed`)
const isUnexplained = !report.success && failed.length === 0
if (isUnexplained) console.log('FAILED: the run failed although no test did')
const isRed = unknown.length + mended.length > 0 || listed.size > MOST_LISTED || isUnexplained
process.exitCode = isRed ? 1 : 0

function readListed() {
	const file = 'KNOWN-RED.txt'
	const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n') : []
	const entries = lines.filter((line) => line.trim() !== '').map((line) => line.split(' | '))
	return new Map(entries.map(([test = '', ...rest]) => [test.trim(), rest.join(' | ')]))
}

/** Failed tests of a file as `FILE > NAME`; a file that could not be run counts as one. */
function failuresOf({ name, status, assertionResults }) {
	const file = relative(process.cwd(), name)
	const failures = assertionResults.filter((test) => test.status === 'failed')
	if (status === 'failed' && failures.length === 0) return [`${file} > (not run)`]
	return failures.map((test) => `${file} > ${test.fullName}`)
}
