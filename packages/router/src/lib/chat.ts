import type { Work } from '@stallwing/core'
import { fnv1a } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import { z } from 'zod'

const chatSchema = z.looseObject({
	model: z.string().min(1),
	messages: z
		.array(z.looseObject({ role: z.string(), content: z.string() }))
		.min(1)
		.max(10_000),
	stream: z.boolean().optional(),
	max_tokens: z.number().int().min(1).max(1_000_000).optional(),
})

/** A validated chat-completions body. */
export type ChatRequest = z.infer<typeof chatSchema>

/** Fewest bytes per token in a real prompt, so that the token estimate is an upper bound. */
const MIN_BYTES_PER_TOKEN = 3
const OVERHEAD_TOKENS_PER_MESSAGE = 8
const HASHED_PREFIX_CHARS = 256

/** Parses and validates a chat-completions body. The left side is the error message. */
export function parseChat(body: Buffer): E.Either<string, ChatRequest> {
	let json: unknown
	try {
		json = JSON.parse(body.toString('utf8'))
	} catch {
		return E.left('the body is not JSON')
	}
	const parsed = chatSchema.safeParse(json)
	if (parsed.success) return E.right(parsed.data)
	const issue = parsed.error.issues[0]
	return E.left(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'wrong form'}`)
}

/** Derives the work of a chat request, with an upper bound of its input tokens. */
export function chatWork(chat: ChatRequest): Extract<Work, { kind: 'model' }> {
	let tokens = 0
	for (const { content } of chat.messages)
		tokens +=
			Math.ceil(Buffer.byteLength(content) / MIN_BYTES_PER_TOKEN) + OVERHEAD_TOKENS_PER_MESSAGE
	const prompt = chat.messages.map((message) => message.content).join('\n')
	return {
		kind: 'model',
		model: chat.model,
		inputTokens: tokens,
		...(chat.max_tokens === undefined ? {} : { maxOutputTokens: chat.max_tokens }),
		prefixHash: fnv1a(prompt.slice(0, HASHED_PREFIX_CHARS)).toString(36),
	}
}
