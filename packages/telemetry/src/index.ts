/** What a process tells about itself: metrics and log lines. */
export { BoundedLog, type BoundedLogOptions } from './lib/BoundedLog.js'
export { Metrics } from './lib/Metrics.js'
export { StoreCallCounter } from './lib/StoreCallCounter.js'
export { writeInChunks } from './lib/writeInChunks.js'
