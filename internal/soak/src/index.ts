/** Deterministic simulations of many router cores in virtual time, for tests and benchmarks. */
export { InvariantViolation, Simulation, type SimulationOptions } from './lib/Simulation.js'
export { collectBudgetTotals, type BudgetTotals } from './lib/checkInvariants.js'
export type { SimBox } from './lib/SimBox.js'
export { Random } from './lib/Random.js'
export { EventQueue } from './lib/EventQueue.js'
