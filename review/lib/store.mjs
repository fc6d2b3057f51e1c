/**
 * Stand-in for the platform's metadata store, with the protocol of the users' pages: keys with revisions, ranges, watches,
 * conditional transactions and leases. It runs in the process of the script and is sound unless the script says otherwise.
 */
import { createServer } from 'node:http'

const HISTORY_MS = 20_000

export class Store {
	revision = 100
	items = new Map()
	history = []
	leases = new Map()
	nextLease = 1
	waiters = new Set()
	era = 1

	async start() {
		this.server = createServer((message, response) => void this.handle(message, response))
		this.server.keepAliveTimeout = 60_000
		await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
		this.address = `127.0.0.1:${this.server.address().port}`
		this.timer = setInterval(() => this.endLeases(), 50)
	}

	stop() {
		clearInterval(this.timer)
		this.server.close()
		this.server.closeAllConnections()
	}

	/** Writes a key, as the operator or a server does. */
	put(key, document) {
		return this.set(key, Buffer.from(JSON.stringify(document)).toString('base64'), 0)
	}

	set(key, value, lease) {
		const revision = ++this.revision
		const made = this.items.get(key)?.made ?? revision
		const item = { KeyFile: key, Value: value, Revision: revision, made, lease }
		this.items.set(key, item)
		this.note(item)
		return revision
	}

	remove(key) {
		if (!this.items.delete(key)) return
		this.note({ KeyFile: key, Revision: ++this.revision, gone: true })
	}

	note(event) {
		this.history.push({ at: performance.now(), event })
		while (this.history[0].at < performance.now() - HISTORY_MS) this.history.shift()
		for (const wake of [...this.waiters]) wake()
	}

	endLeases() {
		for (const [id, lease] of this.leases) if (performance.now() >= lease.endsAt) this.endLease(id)
	}

	endLease(id) {
		this.leases.delete(id)
		for (const [key, item] of this.items) if (item.lease === id) this.remove(key)
	}

	async handle(message, response) {
		const chunks = []
		try {
			for await (const chunk of message) chunks.push(chunk)
		} catch {
			return
		}
		const url = new URL(message.url, 'http://store')
		const text = Buffer.concat(chunks).toString()
		const { status, body } = await this.reply(message.method, url, text, response)
		if (response.destroyed) return
		const bytes = Buffer.from(body === undefined ? '' : JSON.stringify(body))
		response.writeHead(status, {
			'Content-Type': 'application/json',
			'Content-Length': bytes.length,
			'Store-Era': String(this.era),
		})
		response.end(bytes)
	}

	async reply(method, url, text, response) {
		const query = url.searchParams
		const [, call, id] = url.pathname.split('/')
		switch (`${method} ${call}`) {
			case 'GET kv-key': {
				const item = this.items.get(query.get('KeyFile'))
				return item ? { status: 200, body: { ...item, at: this.revision } } : { status: 404 }
			}
			case 'GET kv-range':
				return this.range(query)
			case 'GET kv-watch':
				return this.watch(query, response)
			case 'POST kv-txn':
				return this.transact(JSON.parse(text))
			case 'POST kv-lease': {
				const ttl = JSON.parse(text).ttl_ms
				const lease = this.nextLease++
				this.leases.set(lease, { ttl, endsAt: performance.now() + ttl })
				return { status: 200, body: { lease, ttl_ms: ttl } }
			}
			case 'POST kv-keep': {
				const lease = this.leases.get(Number(id))
				if (!lease) return { status: 404 }
				lease.endsAt = performance.now() + lease.ttl
				return { status: 200, body: { lease: Number(id), ttl_ms: lease.ttl } }
			}
			case 'DELETE kv-lease-end':
				this.endLease(Number(id))
				return { status: 200, body: {} }
			default:
				return { status: 404 }
		}
	}

	range(query) {
		const prefix = query.get('PathPrefix') ?? ''
		const after = query.get('SinceRevision') ?? ''
		const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after)
		keys.sort()
		const page = keys.slice(0, 500)
		const Entries = page.map((key) => this.items.get(key))
		return { status: 200, body: { Entries, more: page.length < keys.length, at: this.revision } }
	}

	async watch(query, response) {
		const prefix = query.get('PathPrefix') ?? ''
		const after = Number(query.get('SinceRevision'))
		const endsAt = performance.now() + Math.min(30_000, Number(query.get('WaitMs')))
		for (;;) {
			const oldest = this.history[0]?.event.Revision ?? this.revision + 1
			if (after < oldest - 1 && after < this.revision) return { status: 410 }
			const events = this.history
				.map(({ event }) => event)
				.filter((event) => event.Revision > after && event.KeyFile.startsWith(prefix))
			const leftMs = endsAt - performance.now()
			if (events.length > 0 || leftMs <= 0 || response.destroyed)
				return { status: 200, body: { events, at: this.revision } }
			await this.change(leftMs)
		}
	}

	change(ms) {
		return new Promise((resolve) => {
			const wake = () => {
				clearTimeout(timer)
				this.waiters.delete(wake)
				resolve()
			}
			const timer = setTimeout(wake, ms)
			this.waiters.add(wake)
		})
	}

	transact({ ExpectedRevision = [], put = [], Delete = [] }) {
		const keys = [...put.map(({ KeyFile }) => KeyFile), ...Delete]
		if (keys.some((key) => /^(op|servers)\//.test(key))) return { status: 403 }
		const failed = ExpectedRevision.some(
			({ KeyFile, Revision }) => (this.items.get(KeyFile)?.Revision ?? 0) !== Revision,
		)
		if (failed) {
			const Entries = ExpectedRevision.map(
				({ KeyFile }) => this.items.get(KeyFile) ?? { KeyFile, Revision: 0 },
			)
			return { status: 412, body: { Entries } }
		}
		if (put.some(({ lease }) => lease && !this.leases.has(lease))) return { status: 404 }
		for (const { KeyFile, Value, lease = 0 } of put) this.set(KeyFile, Value, lease)
		for (const key of Delete) this.remove(key)
		return { status: 200, body: { Revision: this.revision } }
	}
}
