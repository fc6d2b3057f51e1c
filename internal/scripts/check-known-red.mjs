// Fails CI unless every failed test in a JSON report of vitest is listed in KNOWN-RED.txt, and every
// listed test fails. Tests with crowds of clients may be listed without failing each time, and do not count against the
// cap: their course depends on the machine. Usage: node check-known-red.mjs REPORT
// Format of a line of KNOWN-RED.txt:
// FILE > NAME | cause | issue | command and seed | observed failure
import { existsSync, readFileSync } from 'node:fs'
import { relative } from 'node:path'

const MAX_LISTED_TESTS = 3
/** Tests with crowds of clients. */
const CROWD_TESTS = 'platform/src/crowds/'

const [reportFile = ''] = process.argv.slice(2)
const report = JSON.parse(readFileSync(reportFile, 'utf8'))
const listed = readListed()
const failed = report.testResults.flatMap(failuresOf)
const ran = new Set(report.testResults.flatMap(testsOf))
const known = failed.filter((test) => listed.has(test))
const unknown = failed.filter((test) => !listed.has(test))
const steady = [...listed.keys()].filter((test) => !test.startsWith(CROWD_TESTS))
const crowds = [...listed.keys()].filter((test) => test.startsWith(CROWD_TESTS))
const passing = steady.filter((test) => !failed.includes(test))
const notRun = crowds.filter((test) => !ran.has(test))

for (const test of crowds.filter((name) => !failed.includes(name)))
	console.log(`known red, passed this time: ${test} | ${listed.get(test)}`)
for (const test of notRun) console.log(`FAILED: is listed as known red and was not run: ${test}`)
for (const test of known) console.log(`known red: ${test} | ${listed.get(test)}`)
for (const test of unknown) console.log(`FAILED: ${test}`)
for (const test of passing) console.log(`FAILED: passes and is still listed as known red: ${test}`)
if (steady.length > MAX_LISTED_TESTS)
	console.log(`FAILED: more than ${MAX_LISTED_TESTS} tests are listed`)
const failedWithoutTest = !report.success && failed.length === 0
if (failedWithoutTest) console.log('FAILED: the run failed although no test did')
const hasFailed =
	unknown.length + passing.length + notRun.length > 0 ||
	steady.length > MAX_LISTED_TESTS ||
	failedWithoutTest
process.exitCode = hasFailed ? 1 : 0

function readListed() {
	const file = 'KNOWN-RED.txt'
	const lines = existsSync(file) ? readFileSync(file, 'utf8').split('\n') : []
	const entries = lines.filter((line) => line.trim() !== '').map((line) => line.split(' | '))
	return new Map(entries.map(([test = '', ...rest]) => [test.trim(), rest.join(' | ')]))
}

/** Returns the tests of a file that ran, as `FILE > NAME`. */
function testsOf({ name, assertionResults }) {
	const file = relative(process.cwd(), name)
	const finished = assertionResults.filter(({ status }) => ['passed', 'failed'].includes(status))
	return finished.map((test) => `${file} > ${test.fullName}`)
}

/** Returns the failed tests of a file as `FILE > NAME`. A file that could not run counts as one test. */
function failuresOf({ name, status, assertionResults }) {
	const file = relative(process.cwd(), name)
	const failures = assertionResults.filter((test) => test.status === 'failed')
	if (status === 'failed' && failures.length === 0) return [`${file} > (not run)`]
	return failures.map((test) => `${file} > ${test.fullName}`)
}
