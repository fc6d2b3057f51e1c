import { existsSync, readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { describeFileFault, locateFault, parseJsonc, PlatformClient } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import { z } from 'zod'
import { CommandError, EXIT_CODES } from './CommandError.js'

const operatorConfigSchema = z.strictObject({
	platform: z.string().url(),
	operator: z.strictObject({ name: z.string(), privateKeyFile: z.string() }).optional(),
	operators: z.array(z.strictObject({ name: z.string(), publicKey: z.string() })).default([]),
	routers: z.array(z.string().url()).default([]),
})

/** Settings of an operator. */
export type OperatorConfig = z.infer<typeof operatorConfigSchema>

/** Settings file if the command line names none. */
export const DEFAULT_OPERATOR_CONFIG_FILE = 'stallwing-operator.jsonc'
const PLATFORM_TIMEOUT_MS = 3_000

/** Reads a text file. @throws CommandError if it does not exist. */
export function readTextFile(file: string): string {
	if (!existsSync(file)) throw new CommandError(EXIT_CODES.invalid, `${file}: no such file`)
	return readFileSync(file, 'utf8')
}

/** Reads and validates the operator's settings. @throws CommandError that lists every fault. */
export function loadOperatorConfig(file: string): OperatorConfig {
	const text = readTextFile(file)
	const parsed = parseJsonc(file, text)
	if (E.isLeft(parsed)) throw new CommandError(EXIT_CODES.invalid, formatFaults(parsed.left))
	const result = operatorConfigSchema.safeParse(parsed.right)
	if (result.success) return resolveKeyFile(file, result.data)
	const faults = result.error.issues.map((issue) =>
		locateFault(file, text, issue.path as (string | number)[], issue.message),
	)
	throw new CommandError(EXIT_CODES.invalid, formatFaults(faults))
}

/** Formats file faults, one per line. */
export function formatFaults(
	faults:
		Parameters<typeof describeFileFault>[0][] | readonly Parameters<typeof describeFileFault>[0][],
): string {
	return faults.map(describeFileFault).join('\n')
}

/** Runs `work` with a platform client, and closes the client when `work` ends. */
export async function withPlatform<T>(
	config: OperatorConfig,
	work: (platform: PlatformClient) => Promise<T>,
): Promise<T> {
	const platform = new PlatformClient({ url: config.platform, timeoutMs: PLATFORM_TIMEOUT_MS })
	try {
		return await work(platform)
	} finally {
		await platform.close()
	}
}

/** Returns the name and private key of the signing operator. @throws CommandError if the settings name none. */
export function requireSigner(config: OperatorConfig): { name: string; privateKey: string } {
	if (!config.operator)
		throw new CommandError(
			EXIT_CODES.invalid,
			'the operator settings have no "operator" to sign with',
		)
	return { name: config.operator.name, privateKey: readTextFile(config.operator.privateKeyFile) }
}

function resolveKeyFile(file: string, config: OperatorConfig): OperatorConfig {
	if (!config.operator) return config
	const privateKeyFile = resolve(dirname(file), config.operator.privateKeyFile)
	return { ...config, operator: { ...config.operator, privateKeyFile } }
}
