import { Command, CommanderError } from 'commander'
import { describe, expect, it } from 'vitest'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { addLossesCommand } from './lossesCommand.js'

function run(...args: string[]): Promise<unknown> {
	const program = new Command().exitOverride().configureOutput({ writeErr: () => undefined })
	addLossesCommand(program)
	for (const command of program.commands)
		command.exitOverride().configureOutput({ writeErr: () => undefined })
	return program.parseAsync(['node', 'stallwing', 'losses', ...args])
}

describe('stallwing losses', () => {
	it('rejects a missing file and an unknown option', async () => {
		await expect(run('no-such-file.log')).rejects.toMatchObject({
			kind: 'command-error',
			exitCode: EXIT_CODES.usage,
		})
		await expect(run('no-such-file.log')).rejects.toBeInstanceOf(CommandError)
		await expect(run('--colour')).rejects.toBeInstanceOf(CommanderError)
	})
})
