/** The `stallwing` command. */
import { PlatformUnavailableError } from '@stallwing/store'
import { Command, CommanderError } from 'commander'
import { CommandError, EXIT_CODES } from './lib/CommandError.js'
import { addBudgetCommands } from './lib/commands/budgetCommands.js'
import { addBundleCommands } from './lib/commands/bundleCommands.js'
import { addLossesCommand } from './lib/commands/lossesCommand.js'
import { addOperatorCommands } from './lib/commands/operatorCommands.js'
import { addAllowanceCommands } from './lib/commands/allowanceCommands.js'
import { addQuarantineCommands } from './lib/commands/quarantineCommands.js'
import { addRouterCommand } from './lib/commands/routerCommand.js'
import { addStatusCommands } from './lib/commands/statusCommands.js'
import { DEFAULT_OPERATOR_CONFIG_FILE } from './lib/OperatorConfig.js'

const program = new Command('stallwing')
	.description('Router fleet for prepaid token budgets')
	.version('0.1.0')
	.option(
		'-c, --operator-config <file>',
		'settings file of the operator',
		process.env.STALLWING_OPERATOR,
	)
	.showHelpAfterError('(run with --help for the options)')
	.addHelpText(
		'after',
		'\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 invalid file, 4 conflict, 5 no answer.',
	)
	.exitOverride()

function operatorConfigFile(): string {
	return program.opts<{ operatorConfig?: string }>().operatorConfig ?? DEFAULT_OPERATOR_CONFIG_FILE
}

addRouterCommand(program)
addBundleCommands(program, operatorConfigFile)
addBudgetCommands(program, operatorConfigFile)
addStatusCommands(program, operatorConfigFile)
addAllowanceCommands(program, operatorConfigFile)
addQuarantineCommands(program, operatorConfigFile)
addOperatorCommands(program)
addLossesCommand(program)

try {
	await program.parseAsync()
} catch (error) {
	process.exitCode = reportError(error)
}

function reportError(error: unknown): number {
	if (error instanceof CommanderError)
		return error.exitCode === 0 ? EXIT_CODES.ok : EXIT_CODES.usage
	if (error instanceof CommandError) {
		process.stderr.write(`stallwing: ${error.message}\n`)
		return error.exitCode
	}
	if (error instanceof PlatformUnavailableError) {
		process.stderr.write(`stallwing: ${error.message}\n`)
		return EXIT_CODES.unavailable
	}
	process.stderr.write(`stallwing: ${String(error)}\n`)
	return EXIT_CODES.failure
}
