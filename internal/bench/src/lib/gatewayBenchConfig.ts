import {
	brandId,
	type AccountName,
	type RouteName,
	type ServiceName,
	type TargetEntry,
	type TargetName,
	type TrafficConfig,
	type ZoneName,
} from '@stallwing/core'
import type { Dialect, StoreLayout } from '@stallwing/gateway'
import { STANDIN_HEADERS, STANDIN_HEADER_PATTERN } from '@stallwing/standins'
import * as E from 'fp-ts/lib/Either.js'

const ENGINE = brandId<ServiceName>('engine')
const PLAIN = brandId<ServiceName>('plain')
const PLAIN_TARGETS = 4
const LIMITS = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 4_194_304,
	headerTimeoutMs: 3_000,
	idleTimeoutMs: 15_000,
}
const REFUSAL_STATUS = 503

/** Path prefixes of the two routes of the benchmark. */
export const STREAM_PATH = '/stream/'
export const PLAIN_PATH = '/plain/'
/** API key of all callers of the benchmark. */
export const BENCH_API_KEY = 'key'

/** Configuration with a streaming route to engines and a plain route. */
export const BENCH_CONFIG: TrafficConfig = {
	version: 1,
	routes: [
		{
			name: brandId<RouteName>('stream'),
			host: 'a.example',
			pathPrefix: STREAM_PATH,
			kind: 'stream',
			resumable: false,
			timeoutMs: 6_000,
			latencyGoalMs: 600,
			eventGapGoalMs: 400,
			rank: 0,
			shares: [{ service: ENGINE, weight: 1 }],
			maxAttempts: 1,
			isPublic: false,
			requiresDeclaredWork: true,
			regions: undefined,
		},
		{
			name: brandId<RouteName>('plain'),
			host: 'a.example',
			pathPrefix: PLAIN_PATH,
			kind: 'once',
			resumable: false,
			timeoutMs: 1_000,
			latencyGoalMs: 200,
			eventGapGoalMs: undefined,
			rank: 1,
			shares: [{ service: PLAIN, weight: 1 }],
			maxAttempts: 1,
			isPublic: false,
			requiresDeclaredWork: false,
			regions: undefined,
		},
	],
	services: [
		{ name: ENGINE, maxConnections: 100_000, tokensPerEvent: 5, coldStart: undefined },
		{ name: PLAIN, maxConnections: 100_000, tokensPerEvent: undefined, coldStart: undefined },
	],
	accounts: [
		{
			name: brandId<AccountName>('acme'),
			keys: [BENCH_API_KEY],
			rank: 0,
			tokenBudget: 1_000_000_000,
			regions: undefined,
		},
	],
	limits: LIMITS,
}

export const BENCH_STORE_LAYOUT: StoreLayout = {
	configPrefix: 'config/',
	configKey: 'config/now',
	cordonPrefix: 'config/cordon/',
	targetsPrefix: 'targets/',
	allowanceKey: 'allowance',
	spendingLimitPrefix: 'mark/',
	boxPrefix: 'box/',
	fleetPrefix: 'box',
	quarantineKey: 'box-quarantine',
	readConfig: (value) => E.right(JSON.parse(value.toString('utf8')) as TrafficConfig),
	readTarget: ({ value, revision }) =>
		E.right({ ...(JSON.parse(value.toString('utf8')) as TargetEntry), revision }),
}

/** Returns the store documents of the targets by key. The targets share the given ports in turn. */
export function targetDocuments(engines: number, ports: readonly number[]): [string, string][] {
	return Array.from({ length: engines + PLAIN_TARGETS }, (_, index) => {
		const name = `i-${index.toString(16).padStart(10, '0')}`
		const entry: TargetEntry = {
			name: brandId<TargetName>(name),
			service: index < engines ? ENGINE : PLAIN,
			address: `127.0.0.1:${ports[index % ports.length]}`,
			zone: brandId<ZoneName>(`z${(index % 4) + 1}`),
			slots: index < engines ? 24 : 6,
			leaving: false,
			coldMs: 0,
			bornAt: undefined,
			revision: { era: 0, number: 0 },
		}
		return [`targets/${name}`, JSON.stringify(entry)]
	})
}

/** Header names and formats that the targets and callers of the benchmark use. */
export const BENCH_DIALECT: Dialect = {
	headers: STANDIN_HEADERS,
	reservedHeaders: new Set(['authorization', 'account', 'expected-target', 'deadline-ms', 'rank']),
	platformHeaderPattern: STANDIN_HEADER_PATTERN,
	ignoredHeaders: new Set(['own-instance']),
	leastUrgentRank: 9,
	wrongTargetStatus: 421,
	initialLimits: LIMITS,
	readWork: (header) => {
		const fields = header('work')?.split(',')
		if (!fields) return E.right(undefined)
		const [systemPart = '', sessionPart = '', requestPart = ''] = fields
		return E.right({
			inputTokens: 9_000,
			maxOutputTokens: 50,
			parts: [
				{ id: systemPart, tokens: 2_500 },
				{ id: sessionPart, tokens: 3_800 },
				{ id: requestPart, tokens: 2_700 },
			],
		})
	},
	readKey: (header) => header('authorization'),
	readLoad: (text) => {
		const [running = 0, waiting = 0, slots = 1] = text.split(',').map(Number)
		return { running, waiting, slots }
	},
	statusFor: () => REFUSAL_STATUS,
}
