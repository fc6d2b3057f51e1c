export { setTimeout as sleep } from 'node:timers/promises'
