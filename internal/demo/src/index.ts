/** Fleets of real processes for tests and benchmarks. */
export { DemoFleet, type FleetOptions, type FleetRouter } from './lib/DemoFleet.js'
export { DEMO_ACCOUNTS, type DemoAccount } from './lib/demoBundle.js'
export { chatBody, sendRequest, type Reply, type TestRequest } from './lib/fleetTestHelpers.js'
