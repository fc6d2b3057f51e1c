import { readFileSync } from 'node:fs'
import { describeFileFault, locateFault, parseJsonc, type FileFault } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { z } from 'zod'

const listenSchema = z.strictObject({
	host: z.string().default('127.0.0.1').describe('IP number to listen on'),
	port: z.number().int().min(0).max(65_535).describe('TCP port; 0 chooses a free one'),
})

const nameSchema = z
	.string()
	.regex(/^[a-z0-9][a-z0-9-]{0,39}$/, 'lower-case letters, digits, dashes')

/** Schema of a router's settings file. The settings reference is generated from it. @public */
export const settingsSchema = z.strictObject({
	box: nameSchema.describe('Name of this box; the same after each restart'),
	zone: nameSchema.describe('Availability zone of this box'),
	listen: z.strictObject({
		callers: listenSchema.describe('Where callers connect'),
		peers: listenSchema.describe('Where other boxes connect'),
		admin: listenSchema
			.default({ host: '127.0.0.1', port: 0 })
			.describe('Status and explanations, for operators'),
	}),
	peerAddress: z
		.string()
		.optional()
		.describe('Address that other boxes use; made from listen.peers where absent'),
	platform: z.strictObject({
		url: z.string().url().describe('Address of the key-value service'),
		timeoutMs: z.number().int().min(10).default(1_000).describe('Time-out of a call, in ms'),
	}),
	operators: z
		.array(z.strictObject({ name: nameSchema, publicKey: z.string().describe('PEM, ed25519') }))
		.min(2)
		.describe('Operators whose signatures on a bundle count'),
	limits: z
		.strictObject({
			bodyBytes: z.number().int().min(1).default(1_048_576).describe('Largest request body'),
			answerBytes: z.number().int().min(1).default(8_388_608).describe('Largest whole answer'),
			firstByteMs: z.number().int().min(1).default(10_000).describe('Longest wait to start'),
			idleMs: z.number().int().min(1).default(15_000).describe('Longest gap in an answer'),
			stopMs: z.number().int().min(1).default(30_000).describe('Longest planned stop'),
		})
		.default({
			bodyBytes: 1_048_576,
			answerBytes: 8_388_608,
			firstByteMs: 10_000,
			idleMs: 15_000,
			stopMs: 30_000,
		}),
	tls: z
		.strictObject({
			keyFile: z.string().describe('PEM of the private key of this box'),
			certFile: z.string().describe('PEM of its certificate'),
			caFile: z.string().describe('PEM of the authority that signs all boxes'),
		})
		.optional()
		.describe('mTLS between boxes; plain HTTP/2 where absent'),
	peerFramesPerSecond: z
		.number()
		.min(5)
		.default(400)
		.describe(
			'Frames a second to other boxes; above it messages are gathered, which saves processor time and adds delay',
		),
	seed: z.number().int().optional().describe('Seed of the random numbers; for tests'),
})

/** Settings of a router. @public */
export type RouterSettings = z.infer<typeof settingsSchema>

/** Parses and validates settings. Each fault has the file, line, key and expected value. @public */
export function parseSettings(
	file: string,
	text: string,
): E.Either<readonly FileFault[], RouterSettings> {
	const parsed = parseJsonc(file, text)
	if (E.isLeft(parsed)) return parsed
	const result = settingsSchema.safeParse(parsed.right)
	if (result.success) return E.right(result.data)
	return E.left(
		result.error.issues.map((issue) =>
			locateFault(file, text, issue.path as (string | number)[], issue.message),
		),
	)
}

/** Reads and validates a settings file. @throws SettingsError that lists every fault. @public */
export function loadSettings(file: string): RouterSettings {
	const result = parseSettings(file, readFileSync(file, 'utf8'))
	if (E.isLeft(result)) throw new SettingsError(result.left)
	return result.right
}

/** Error that lists every fault of a settings file. @public */
export class SettingsError extends Error {
	readonly kind = 'settings-error'
	constructor(readonly faults: readonly FileFault[]) {
		super(faults.map(describeFileFault).join('\n'))
	}
}
