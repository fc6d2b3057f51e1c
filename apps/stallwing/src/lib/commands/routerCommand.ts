import { RouterDaemon, SettingsError, loadSettings, type RouterSettings } from '@stallwing/router'
import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { readTextFile } from '../OperatorConfig.js'

/** Adds the `stallwing router` command. */
export function addRouterCommand(program: Command): void {
	program
		.command('router')
		.description('run a router; writes log events to standard output, one JSON line each')
		.requiredOption('--config <file>', 'settings of this box, JSON with comments')
		.option('--ready-fd', 'print the listening addresses as the first line of standard error')
		.action((options: { config: string; readyFd?: boolean }) => runRouter(options))
}

async function runRouter(options: { config: string; readyFd?: boolean }): Promise<void> {
	const daemon = new RouterDaemon(loadRouterSettings(options.config), {
		writeLog: (line) => process.stdout.write(line),
		onExit: (clean) => process.exit(clean ? EXIT_CODES.ok : EXIT_CODES.failure),
	})
	const addresses = await daemon.start()
	if (options.readyFd) process.stderr.write(`${JSON.stringify(addresses)}\n`)
	process.on('SIGTERM', () => daemon.stop())
	process.on('SIGINT', () => daemon.stop())
}

function loadRouterSettings(file: string): RouterSettings {
	readTextFile(file)
	try {
		return loadSettings(file)
	} catch (error) {
		if (error instanceof SettingsError) throw new CommandError(EXIT_CODES.invalid, error.message)
		throw error
	}
}
