import { connect } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { sleep } from '../sleep.js'
import { TestBox } from '../testBox.js'
import { UnframedTarget, eventsUpTo } from './testUnframedTarget.js'

// Guards against streams without a length or chunks that look complete and lack events: the end of their connection counted as
// their own end unless the box knew that their target had crashed.

const EVENTS = 80
const STREAMS = 9
const TARGETS = 3
/** Time after the start of the streams at which the trouble begins, in ms; they last for about 1,700 ms. */
const TROUBLE_AFTER_MS = 300
/** Time from the notice of a target until it is gone, in ms. */
const NOTICE_MS = 800
/** Longest time from the end of the last stream until its caller knows, in ms. */
const SETTLE_MS = 4_000

type Trouble = () => Promise<void> | void

/** Numbers of streams: with all events, complete without some, and visibly broken off. */
interface Outcome {
	readonly whole: number
	readonly short: number
	readonly broken: number
}

interface Answer {
	text: string
	end: 'open' | 'in order' | 'reset'
}

function sendTo(port: number, path: string, httpVersion: string): Answer {
	const socket = connect({ port, host: '127.0.0.1' })
	const answer: Answer = { text: '', end: 'open' }
	socket.on('data', (bytes: Buffer) => (answer.text += bytes.toString('latin1')))
	socket.on('end', () => (answer.end = 'in order'))
	socket.on('error', () => (answer.end = 'reset'))
	socket.on('close', () => (answer.end = answer.end === 'open' ? 'reset' : answer.end))
	socket.write(
		`POST ${path} HTTP/${httpVersion}\r\nHost: a.example\r\nauthorization: key\r\nConnection: close\r\n` +
			`request-id: u${path.replaceAll('/', '-')}\r\ndeadline-ms: 9000\r\ncontent-length: 0\r\n\r\n`,
	)
	return answer
}

/** Events of the body, without the framing of chunks. */
function eventsOf({ text }: Answer): string {
	const body = text.slice(text.indexOf('\r\n\r\n') + 4)
	return body.replaceAll(/(^|\r\n)[0-9a-f]+\r\n/g, '').replaceAll('\r\n', '')
}

/** True if the answer is complete by the protocol. */
function looksComplete({ end, text }: Answer): boolean {
	if (/transfer-encoding: chunked/i.test(text)) return text.endsWith('\r\n0\r\n\r\n')
	return end === 'in order'
}

describe('streams without a length or chunks', { timeout: 60_000 }, () => {
	let box: TestBox
	let targets: UnframedTarget[]
	let plays = 0

	beforeAll(async () => {
		box = new TestBox()
		await box.start()
		box.configure()
	})
	afterAll(() => box.stop())

	async function startTargets(): Promise<void> {
		plays++
		targets = Array.from(
			{ length: TARGETS },
			(_, index) => new UnframedTarget(`t${plays}-${index}`, { events: EVENTS }),
		)
		await Promise.all(targets.map((target) => target.start()))
		for (const target of targets) list(target)
		await expect.poll(() => box.gateway.status().targets).toBe(TARGETS)
		await box.waitUntilReady()
	}

	async function stopTargets(): Promise<void> {
		for (const target of targets) {
			target.die()
			box.store.remove(`targets/${target.name}`)
		}
		await expect.poll(() => box.gateway.status().targets).toBe(0)
	}

	function list(target: UnframedTarget, isLeaving = false): void {
		box.listTarget(target.name, target.address, isLeaving)
	}

	/** The target that runs the most streams. */
	function busiest(): UnframedTarget {
		return targets.reduce((most, target) => (target.runCount > most.runCount ? target : most))
	}

	/** Plays streams of callers of HTTP/1.1 and 1.0, with trouble while they run. */
	async function play(kind: string, trouble: Trouble): Promise<Outcome> {
		await startTargets()
		const answers = Array.from({ length: STREAMS }, (_, index) => {
			return sendTo(box.port, `/${kind}/${plays}-${index}`, index % 2 === 0 ? '1.1' : '1.0')
		})
		await sleep(TROUBLE_AFTER_MS)
		await trouble()
		await expect
			.poll(() => answers.every(({ end }) => end !== 'open'), { timeout: SETTLE_MS })
			.toBe(true)
		await stopTargets()
		const complete = answers.filter(looksComplete)
		const whole = complete.filter((answer) => eventsOf(answer) === eventsUpTo(EVENTS)).length
		return { whole, short: complete.length - whole, broken: answers.length - complete.length }
	}

	const troubles: Readonly<Record<string, Trouble>> = {
		'one crashes': () => busiest().die(),
		'one crashes and is still connected to': () => busiest().dieSlowly(),
		'all crash': () => {
			for (const target of targets) target.die()
		},
		'one leaves and is gone before they end': async () => {
			const leaving = busiest()
			list(leaving, true)
			await sleep(NOTICE_MS)
			leaving.die()
		},
		'one is no longer listed and ends': async () => {
			const unlisted = busiest()
			box.store.remove(`targets/${unlisted.name}`)
			await sleep(NOTICE_MS)
			unlisted.die()
		},
		'one starts again at its address at once': async () => {
			const dead = busiest()
			const { port } = dead
			dead.die()
			const next = new UnframedTarget(`t${plays}-next`, { events: EVENTS, port })
			await next.start()
			targets.push(next)
			list(next)
		},
		'one crashes behind something that goes on accepting, and answers nothing': () => {
			const dead = busiest()
			dead.answerHealth = () => undefined
			dead.dieSlowly()
		},
	}

	it('do not look complete and short, whatever ends their targets', async () => {
		for (const [name, trouble] of Object.entries(troubles)) {
			const { short } = await play('stream', trouble)
			expect.soft({ name, short }).toEqual({ name, short: 0 })
		}
	})

	it('go on at another target if they can, whatever ends their targets', async () => {
		for (const [name, trouble] of Object.entries(troubles)) {
			const { short, whole } = await play('resume', trouble)
			const canGoOn = name !== 'all crash'
			expect.soft({ name, short, whole }).toEqual({ name, short: 0, whole: canGoOn ? STREAMS : 0 })
		}
	})

	const soundEnds: Readonly<Record<string, Trouble>> = {
		'are listed': () => undefined,
		leave: () => {
			for (const target of targets) list(target, true)
		},
		'are no longer listed': () => {
			for (const target of targets) box.store.remove(`targets/${target.name}`)
		},
		'answer the check as if they were unwell': () => {
			for (const target of targets)
				target.answerHealth = (socket) => target.writeHealth(socket, '503 Service Unavailable')
		},
		'reject the check': () => {
			for (const target of targets)
				target.answerHealth = (socket) =>
					socket.write(
						'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n',
					)
		},
	}

	it.each(Object.keys(soundEnds))('end whole if their targets %s', async (name) => {
		const outcome = await play('stream', soundEnds[name] ?? (() => undefined))
		expect(outcome).toEqual({ whole: STREAMS, short: 0, broken: 0 })
	})
})
