export { BoundedServer, type BoundedServerOptions } from './lib/BoundedServer.js'
export { CONNECTION_ALLOWANCE_BYTES, type ConnectionLimits } from './lib/ConnectionLimits.js'
export type { CloseReason, ClosedConnection } from './lib/ConnectionTable.js'
export { resetConnection } from './lib/resetConnection.js'
