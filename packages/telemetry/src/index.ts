/** Telemetry of a process: metrics and structured logs. */
export { BoundedLog, type BoundedLogOptions } from './lib/BoundedLog.js'
export { Metrics } from './lib/Metrics.js'
export { StoreCallCounter } from './lib/StoreCallCounter.js'
export { writeInChunks } from './lib/writeInChunks.js'
