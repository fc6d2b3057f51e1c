import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { brandId, type AccountName, type BoxName } from '@stallwing/core'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { PeerClient } from './PeerClient.js'
import type { ReplicatedDraws } from './DrawReplicator.js'

// Guards against calls between boxes that are given up again and again, because a slow link delays all answers.

const ANSWER_DELAY_MS = 350
const DRAWS: ReplicatedDraws = {
	box: brandId<BoxName>('box-1'),
	revision: { era: 1, number: 7 },
	raised: { [brandId<AccountName>('acme')]: 10 },
}

describe('PeerClient', () => {
	let server: Server
	let address: string
	let client: PeerClient
	beforeEach(async () => {
		server = createServer((request, response) => {
			request.resume()
			setTimeout(() => response.end(), ANSWER_DELAY_MS)
		})
		await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`
		const now = (): number => performance.now()
		client = new PeerClient(brandId<BoxName>('box-1'), now, () => undefined)
	})
	afterEach(() => {
		server.closeAllConnections()
		server.close()
	})

	it('uses a late confirmation of draws', async () => {
		expect(await client.sendDraws(address, DRAWS)).toBe(true)
	})

	it('waits longer for a status once answers were late', async () => {
		expect(await client.isReachable(address)).toBe(false)
		await client.sendDraws(address, DRAWS)
		expect(await client.isReachable(address)).toBe(true)
	})
})
