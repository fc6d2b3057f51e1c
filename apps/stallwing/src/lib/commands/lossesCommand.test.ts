import { Command, CommanderError } from 'commander'
import { describe, expect, it } from 'vitest'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { addLossesCommand } from './lossesCommand.js'

function run(...words: string[]): Promise<unknown> {
	const program = new Command().exitOverride().configureOutput({ writeErr: () => undefined })
	addLossesCommand(program)
	for (const command of program.commands)
		command.exitOverride().configureOutput({ writeErr: () => undefined })
	return program.parseAsync(['node', 'stallwing', 'losses', ...words])
}

describe('stallwing losses', () => {
	it('refuses a file that is not there and an option that is not known', async () => {
		await expect(run('no-such-file.log')).rejects.toMatchObject({
			kind: 'command-error',
			exitCode: EXIT_CODES.usage,
		})
		await expect(run('no-such-file.log')).rejects.toBeInstanceOf(CommandError)
		await expect(run('--colour')).rejects.toBeInstanceOf(CommanderError)
	})
})
