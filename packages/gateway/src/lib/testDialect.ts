import { STANDIN_HEADERS, STANDIN_HEADER_PATTERN } from '@stallwing/standins'
import * as E from 'fp-ts/lib/Either.js'
import type { Dialect } from './Dialect.js'

/** For tests: the protocol of the stand-ins. */
export const TEST_DIALECT: Dialect = {
	headers: STANDIN_HEADERS,
	reservedHeaders: new Set([
		'authorization',
		'account',
		'expected-target',
		'deadline-ms',
		'rank',
		'last-event-id',
	]),
	platformHeaderPattern: STANDIN_HEADER_PATTERN,
	ignoredHeaders: new Set(['own-instance']),
	leastUrgentRank: 9,
	wrongTargetStatus: 421,
	initialLimits: {
		maxHeaderBytes: 16_384,
		maxBodyBytes: 1_000,
		headerTimeoutMs: 5_000,
		idleTimeoutMs: 5_000,
	},
	readWork: (header) => {
		const tokens = Number(header('tokens') ?? 0)
		const ids = header('parts')?.split(',') ?? []
		const parts = ids.map((id) => ({ id, tokens: 1 }))
		return E.right({ inputTokens: tokens, maxOutputTokens: 0, parts })
	},
	readKey: (header) => header('authorization'),
	readLoad: (text) => {
		const [running = 0, waiting = 0, slots = 0] = text.split(',').map(Number)
		return { running, waiting, slots }
	},
	statusFor: (kind) => STATUS_CODES[kind],
}

const STATUS_CODES = {
	malformed: 400,
	'header-too-large': 431,
	'body-too-large': 413,
	'no-route': 404,
	'no-key': 401,
	'body-late': 408,
	'not-configured': 503,
	'configuration-old': 503,
	'budget-spent': 402,
	'budget-unknown': 503,
	'no-target': 503,
	stopping: 503,
	'no-place': 503,
	overloaded: 503,
	'too-late': 503,
	'stream-lost': 503,
	'stream-unconfirmed': 503,
	quarantined: 503,
	'target-failed': 502,
	'timed-out': 504,
} as const
