/**
 * Clients that send requests which may run once, each on a connection that it keeps. They show the rule LOST: a request from
 * a kept connection that reached a sound server, and the connection closed without an answer.
 */
import { KeptClient } from './client.mjs'
import { plainHeaders } from './deployment.mjs'

const DEADLINE_MS = 10_000

/** Work of the stand-in of a server, by path, in ms. */
export const workMs = (path) => (path.endsWith('/long') ? 5_000 : 150)

export class KeptClients {
	/** Ids of the requests from kept connections whose connection ended without an answer. */
	unanswered = []
	rounds = 0

	constructor({ box, count, record }) {
		this.record = record
		this.clients = Array.from({ length: count }, () => new KeptClient(box.http))
	}

	/** Each client sends one request. Resolves once all of them have ended. */
	async round(path) {
		const round = this.rounds++
		this.record.note(`${this.clients.length} clients send a request to ${path} each`)
		const statuses = await Promise.all(
			this.clients.map((client, index) => this.sendOne(client, `kept${index}-${round}`, path)),
		)
		this.record.note(`${path}: ${statuses.join(' ')}`)
		return statuses
	}

	async sendOne(client, id, path) {
		const request = { path, headers: plainHeaders(id, DEADLINE_MS), body: `ack ${id}` }
		const answer = await client.send(request)
		if (!answer && client.count > 1) this.unanswered.push(id)
		return answer?.head.status ?? 'none'
	}

	/** Requests from kept connections that a server ran, and whose connections were closed without an answer. */
	lost(server) {
		const ran = new Set(server.runs.map(({ id }) => id))
		return this.unanswered.filter((id) => ran.has(id))
	}

	end() {
		for (const client of this.clients) client.close()
	}
}
