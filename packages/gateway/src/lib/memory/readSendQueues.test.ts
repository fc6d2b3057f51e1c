import { describe, expect, it } from 'vitest'
import type { Socket } from 'node:net'
import { connectionKeyOf, parseSendQueues } from './readSendQueues.js'

const TEXT = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 0200A8C0:C350 01 0003A980:00000010 01:00000014 00000000  1000        0 1 2 0000000000000000 20 4 30 10 -1
`

describe('parseSendQueues', () => {
	it('finds the connection by both addresses', () => {
		const socket = {
			localAddress: '127.0.0.1',
			localPort: 8080,
			remoteAddress: '192.168.0.2',
			remotePort: 50_000,
		} as Socket
		expect(parseSendQueues(TEXT).get(connectionKeyOf(socket))).toBe(0x3a980)
		const other = connectionKeyOf({ ...socket, remotePort: 1 } as Socket)
		expect(parseSendQueues(TEXT).has(other)).toBe(false)
	})

	it('takes the queue as unknown where the system shows no connections', () => {
		const socket = { remoteAddress: '::1', remotePort: 1 } as Socket
		expect(parseSendQueues('').has(connectionKeyOf(socket))).toBe(false)
	})
})
