/**
 * All log events. `docs/EVENTS.md` has the same rows, and a test compares them. Numbers are never reused: 1xx requests,
 * 2xx budgets, 3xx membership, 4xx configuration, 5xx targets, 9xx errors.
 * @public
 */
export const LOG_EVENTS = {
	'request-refused': { number: 100, text: 'A request was refused, with the reason' },
	'request-relayed': { number: 101, text: 'A request was relayed to the box that owns its key' },
	'request-joined': {
		number: 102,
		text: 'A repeated request was joined to the run of the first one',
	},
	'target-chosen': { number: 103, text: 'A target was chosen, with the candidates and scores' },
	'attempt-ended': { number: 104, text: 'An attempt at a target ended' },
	'request-billed': { number: 105, text: 'A request was billed' },
	'request-failed': { number: 106, text: 'A request ended without a complete answer' },
	'request-resumed': { number: 107, text: 'The answer of an earlier run was requested again' },
	'request-queued': { number: 108, text: 'A request waits, with the reason' },
	'request-answered': { number: 109, text: 'A request was answered' },
	'stream-resumed': { number: 110, text: 'A broken stream is resumed at another target' },
	'request-cancelled': {
		number: 111,
		text: 'The caller disconnected before its answer was complete',
	},
	'request-suspected': {
		number: 112,
		text: 'A target ended while it ran a request; the event describes the crash record of the request',
	},
	'suspect-heard': {
		number: 113,
		text: 'A record of a suspect request was received from another box or the store',
	},
	'request-cleared': {
		number: 114,
		text: 'The crash record of a request was cleared: it was answered, or an operator released it',
	},
	'quarantine-unreadable': {
		number: 115,
		text: 'The stored list of quarantined requests is invalid; this box keeps its own records',
	},
	'quarantine-not-stored': {
		number: 116,
		text: 'The list of quarantined requests could not be stored; the write is retried',
	},
	'request-displaced': {
		number: 117,
		text: 'A waiting request was refused because a more urgent one took its place in the queue',
	},
	'service-contended': {
		number: 118,
		text: 'Requests of a service began to wait for a place, or no longer do',
	},
	'caller-cut-off': {
		number: 120,
		text: 'A caller that stopped reading its answer was disconnected',
	},
	'part-held': {
		number: 123,
		text: 'A part of prompts crashes the targets that run requests with it; such requests are refused',
	},
	'part-released': {
		number: 124,
		text: 'Requests with a part of prompts that was held may run again',
	},
	'target-silent': {
		number: 125,
		text: 'A target is silent while it runs a request; the event names what replaces it, or what is missing for that',
	},
	'replacement-ended': {
		number: 126,
		text: 'The replacement of a silent target took over a request, or was given up',
	},
	'stream-record-not-stored': {
		number: 127,
		text: 'The versions of targets, or where streams began, could not be stored; the write is retried',
	},
	'stream-record-unread': {
		number: 128,
		text: 'Where streams began could not be read from the store; those streams are refused',
	},
	'stream-record-unreadable': {
		number: 129,
		text: 'The stored versions of targets are invalid; this box keeps what it has seen',
	},
	'stream-looked-up': {
		number: 130,
		text: 'The software version at which a resumed stream began was searched, with where it was found',
	},
	'small-chunks-slowed': {
		number: 131,
		text: 'Messages come in more small chunks than this box has time for; their senders are read more slowly',
	},
	'small-chunks-current': {
		number: 132,
		text: 'All senders of small chunks are read without a wait again',
	},
	'answer-end-checked': {
		number: 133,
		text: 'An answer without a length or chunks ended; the event names what its target showed, and whether the answer counts as complete',
	},
	'version-confirmed': {
		number: 134,
		text: 'All boxes know a new software version of a service; streams may begin there',
	},
	'connections-closed': {
		number: 135,
		text: 'Clients went beyond a limit on connections, and were disconnected; the event names the limit and the last client',
	},
	'slice-asked': { number: 200, text: 'Tokens were requested from the zone leader' },
	'slice-granted': { number: 201, text: 'Tokens were granted by the zone leader' },
	'slice-returned': { number: 202, text: 'Idle tokens were returned to the zone' },
	'transfer-sent': { number: 203, text: 'Idle tokens were sent to another box' },
	'transfer-received': { number: 204, text: 'Tokens were received from another box' },
	'ledger-written': { number: 205, text: 'The zone leader wrote a zone ledger' },
	'shard-written': { number: 206, text: 'The zone leader wrote a budget shard' },
	'slice-in-doubt': { number: 207, text: 'Part of the slice of a lost incarnation is in doubt' },
	'doubt-released': { number: 208, text: 'Tokens in doubt were released' },
	'allowance-claimed': { number: 209, text: 'This incarnation may draw for its box' },
	'allowance-drawn': { number: 210, text: 'The draws of this box were written to the store' },
	'allowance-failed': { number: 211, text: 'The draws of this box could not be written' },
	'allowance-frozen': {
		number: 212,
		text: 'A budget was lowered; no tokens are spent until a new draw',
	},
	'allowance-lent': { number: 213, text: 'Tokens were lent to another box' },
	'allowance-borrowed': { number: 214, text: 'Tokens were requested from another box' },
	'allowance-handed-over': {
		number: 215,
		text: 'A stopping box handed its tokens over to another box',
	},
	'allowance-untold': {
		number: 216,
		text: 'A draw was written that no other box has stored; it is not used yet',
	},
	'allowance-uncertain': {
		number: 217,
		text: 'The store was restored from a backup, and too few boxes that know the draws of this box have written since',
	},
	'allowance-withheld': {
		number: 218,
		text: 'Tokens of a budget may have been drawn before the store was restored, so nobody draws them',
	},
	'allowance-released': {
		number: 219,
		text: 'An operator released the withheld tokens of an account',
	},
	'view-changed': { number: 300, text: 'A new view of the zone is in force' },
	'keeper-gained': { number: 301, text: 'This box became the leader of its zone' },
	'keeper-lost': { number: 302, text: 'This box is no longer the leader of its zone' },
	'box-sealed': { number: 303, text: 'The replica of a removed incarnation was sealed' },
	'box-fenced': { number: 304, text: 'This incarnation was fenced; the box restarts as a new one' },
	'records-lost': { number: 305, text: 'Idempotency records were lost with a box and its replica' },
	'handoff-done': { number: 306, text: 'All records of the keys of this box have arrived' },
	'platform-lost': { number: 307, text: 'The platform is not reachable' },
	'platform-back': { number: 308, text: 'The platform is reachable again' },
	'stop-begun': { number: 309, text: 'A planned stop has started' },
	'stop-done': { number: 310, text: 'A planned stop is complete' },
	'process-started': { number: 311, text: 'The process has started' },
	'settings-reloaded': { number: 312, text: 'The settings were reloaded' },
	'store-reached': { number: 313, text: 'The store is reachable' },
	'store-lost': { number: 314, text: 'The store does not respond' },
	'ready-changed': { number: 315, text: 'The box became ready for callers, or is no longer ready' },
	'fleet-changed': { number: 316, text: 'The list of boxes of the fleet has changed' },
	'fleet-unknown': { number: 317, text: 'The list of boxes of the fleet could not be read' },
	'changes-relayed': { number: 318, text: 'Changes of the store were received from another box' },
	'store-calls': { number: 319, text: 'Calls to the store since the last such event' },
	'machine-suspended': {
		number: 320,
		text: 'The machine was suspended, or its clock was set forward; all cached state is older by that time',
	},
	'store-restored': {
		number: 321,
		text: 'The store was restored from a backup: later writes are lost, and revisions continue from the backup',
	},
	'era-unnamed': {
		number: 322,
		text: 'Responses of the store no longer name an era; the last known era is assumed',
	},
	'bundle-in-force': { number: 400, text: 'A bundle version is in force on this box' },
	'bundle-refused': { number: 401, text: 'A bundle was refused' },
	'traffic-in-force': { number: 402, text: 'A traffic configuration is in force on this box' },
	'traffic-refused': {
		number: 403,
		text: 'A traffic configuration was refused; the last one remains in force',
	},
	'traffic-held': {
		number: 404,
		text: 'The restored store has an older traffic configuration; the one in force remains',
	},
	'callers-moved': {
		number: 405,
		text: 'This box is overloaded and moves callers to other boxes; the event has the inputs and their age',
	},
	'box-load-unreadable': {
		number: 406,
		text: 'A load report of another box is invalid and is ignored; logged once for each sender',
	},
	'configuration-unconfirmed': {
		number: 407,
		text: 'This box serves with a configuration that the store has not confirmed in time; the event has what its calls met',
	},
	'configuration-confirmed': {
		number: 408,
		text: 'The store has confirmed the configuration of this box again',
	},
	'box-behind': {
		number: 409,
		text: 'Requests wait too long until this box starts them; it refuses those that it cannot serve in time',
	},
	'box-current': {
		number: 410,
		text: 'Requests no longer wait too long until this box starts them; the event has what was refused meanwhile',
	},
	'target-ejected': { number: 500, text: 'A failing target receives no requests for some time' },
	'target-restored': { number: 501, text: 'An ejected target receives requests again' },
	'target-leaving': { number: 502, text: 'A target is leaving and receives no new requests' },
	'target-joined': { number: 503, text: 'A target is in the list for the first time' },
	'target-gone': {
		number: 504,
		text: 'A target is no longer in the list and receives no new requests',
	},
	'target-unreadable': {
		number: 505,
		text: 'Entries of the target list are invalid; the event shows the first one and the number of others',
	},
	'target-lapsed': {
		number: 506,
		text: 'An entry expired while the store was unavailable; the target is used for a limited time',
	},
	'zone-cordoned': {
		number: 507,
		text: 'A zone receives no new requests until an operator reopens it',
	},
	'zone-reopened': {
		number: 508,
		text: 'A zone receives new requests again; its targets may be cold',
	},
	'cordon-refused': { number: 509, text: 'A cordon names no zone and is ignored' },
	'target-ended': {
		number: 510,
		text: 'A target ended while it ran requests; the event states how this was detected',
	},
	'target-restarted': { number: 511, text: 'A target restarted under the same name' },
	'target-said-leaving': {
		number: 512,
		text: 'A target announced in an answer that it is leaving; this box sends it no new requests',
	},
	'target-backoff': {
		number: 513,
		text: 'A target rejected a request and asked this box to back off for some time',
	},
	'target-notice-unreadable': {
		number: 514,
		text: 'A target sent a backoff or a rate limit that could not be parsed',
	},
	'target-heard-leaving': {
		number: 515,
		text: 'Another box reported that a target is leaving; the list does not show it yet',
	},
	'target-named-rate': {
		number: 516,
		text: 'A target advertised a rate limit, in requests per second for all boxes together',
	},
	'target-rate-ended': {
		number: 517,
		text: 'A target no longer advertises a rate limit in its answers to this box',
	},
	'target-heard-rate': {
		number: 518,
		text: 'Another box reported the rate limit that a target advertised; -1 if it no longer advertises one',
	},
	'target-header-unknown': {
		number: 519,
		text: 'An answer has a header of the platform that this version does not know',
	},
	'target-slowdown-unreadable': {
		number: 520,
		text: 'A target reported a current slowdown that is not a positive number; its other load figures are used',
	},
	'service-unreachable': {
		number: 523,
		text: 'This box has no path to the targets of a service; its requests go through other boxes',
	},
	'service-reached': {
		number: 524,
		text: 'This box reaches the targets of a service again',
	},
	'rejection-limit-named': {
		number: 525,
		text: 'A target stated above how many rejections per second it fails; this box sends only what it has room for',
	},
	'rejection-limit-ended': {
		number: 526,
		text: 'A target no longer states above how many rejections per second it fails',
	},
	'invariant-breach': {
		number: 900,
		text: 'An invariant would have been violated; the write was not made',
	},
	'unexpected-error': { number: 901, text: 'An unexpected error occurred; the process continues' },
	'log-lines-dropped': {
		number: 902,
		text: 'Log lines were dropped: too many, or not read in time',
	},
} as const
