import { fork, type ChildProcess } from 'node:child_process'
import type { TargetCommand, TargetReport } from './testTargetMessages.js'

const PROGRAM = new URL('../../../dist/lib/lifecycle/testTargetProcess.js', import.meta.url)
	.pathname

/** For tests: a target as its own process, which sends answers with neither a length nor chunks. */
export class TestTarget {
	/** Ids of the requests that it ran. */
	readonly ranIds: string[] = []
	healthChecks = 0
	port = 0
	private readonly child: ChildProcess
	private readonly listening: Promise<void>

	/** @param port - Port to listen on as soon as it is free; 0 for any free one. */
	constructor(
		readonly id: string,
		port = 0,
	) {
		this.child = fork(PROGRAM, [id, String(port)], { execArgv: [] })
		this.listening = new Promise((resolve) => {
			this.child.on('message', (report: TargetReport) => {
				this.note(report)
				if (report.kind === 'listening') resolve()
			})
		})
	}

	waitUntilListening(): Promise<void> {
		return this.listening
	}

	tell(command: TargetCommand): void {
		if (this.child.connected) this.child.send(command)
	}

	/** Ends the process at once; the kernel closes its connections in order. */
	kill(): void {
		this.child.kill('SIGKILL')
	}

	private note(report: TargetReport): void {
		switch (report.kind) {
			case 'listening':
				this.port = report.port
				return
			case 'run':
				this.ranIds.push(report.requestId)
				return
			case 'health-check':
				this.healthChecks++
		}
	}
}
