/** Worlds of many cores in virtual time, for tests and measurements. */
export { PromiseBroken, World, type WorldOptions } from './lib/World.js'
export { collectSums, type BudgetSums } from './lib/checkEnd.js'
export type { SimBox } from './lib/SimBox.js'
export { Random } from './lib/Random.js'
export { EventQueue } from './lib/EventQueue.js'
