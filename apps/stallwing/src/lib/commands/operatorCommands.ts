import { existsSync, writeFileSync } from 'node:fs'
import { makeOperatorKey } from '@stallwing/store'
import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { print } from '../print.js'

const PRIVATE_FILE_MODE = 0o600

/** Adds the `stallwing operator` commands. */
export function addOperatorCommands(program: Command): void {
	const operator = program.command('operator').description('operators who sign bundles')
	operator
		.command('key')
		.description('create a signing key; prints the public key as JSON')
		.argument('<name>', 'name of the operator')
		.argument('<file>', 'file for the private key')
		.action((name: string, file: string) => {
			if (existsSync(file)) throw new CommandError(EXIT_CODES.conflict, `${file} already exists`)
			const { publicKey, privateKey } = makeOperatorKey()
			writeFileSync(file, privateKey, { mode: PRIVATE_FILE_MODE })
			print(JSON.stringify({ name, publicKey }))
		})
}
