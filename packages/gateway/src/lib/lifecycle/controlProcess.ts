import type { LogEvent } from '@stallwing/core'
import { watchFile } from '../watchFile.js'

/** What the signals of the operating system act on. @public */
export interface ProcessControls {
	/** The settings file; a change of it reloads the settings like SIGHUP does. */
	readonly settingsFile: string
	/** Reloads the settings. Returns the outcome for the log. */
	readonly reload: () => string
	/** Stops gracefully within the shutdown grace. */
	readonly stop: () => Promise<void>
	/** Called after the stop, just before the process exits. */
	readonly onExit: () => void
	readonly log: (event: LogEvent) => void
}

/** Reloads the settings on SIGHUP and when their file changes, and stops and exits on SIGTERM. @public */
export function controlProcess(controls: ProcessControls): void {
	const { settingsFile, log } = controls
	const reload = (why: string): void => {
		log({ name: 'settings-reloaded', fields: { why, outcome: controls.reload() } })
	}
	process.on('SIGHUP', () => reload('signal'))
	watchFile(settingsFile, () => reload('file changed'))
	process.on('SIGTERM', () => {
		void controls.stop().then(() => {
			controls.onExit()
			process.exit(0)
		})
	})
}
