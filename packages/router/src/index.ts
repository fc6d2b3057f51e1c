/** The router daemon as a library: settings, sockets and timers around the router core. */
export { RouterDaemon, type DaemonAddresses, type DaemonOptions } from './lib/RouterDaemon.js'
export {
	SettingsError,
	loadSettings,
	parseSettings,
	settingsSchema,
	type RouterSettings,
} from './lib/settings.js'
export { hashKey } from './lib/readCall.js'
export { Metrics } from '@stallwing/telemetry'
export { LogWriter, type LogLine } from './lib/LogWriter.js'
/** Exported only for benchmarks of the traffic between boxes. */
export { PeerLinks } from './lib/PeerLinks.js'
export { PeerServer } from './lib/PeerServer.js'
