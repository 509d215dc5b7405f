/** Parsing of chat request bodies. */
import {raise, type Failure} from '@parsleyarch/errors/failure';
import {ok, type Result} from 'neverthrow';
import * as z from 'zod';

const MAX_TOKENS = 4_096;
const DEFAULT_MAX_TOKENS = 256;

const ChatRequest = z.object({
  model: z.string().min(1).max(100),
  messages: z
    .array(z.object({role: z.string(), content: z.string()}))
    .min(1)
    .max(1_000),
  max_tokens: z
    .number()
    .int()
    .positive()
    .max(MAX_TOKENS)
    .default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false),
});

/** A validated chat request. */
export type ChatRequest = z.infer<typeof ChatRequest>;

/** Validates the body of a chat request. */
export function parseChat(body: unknown): Result<ChatRequest, Failure> {
  const parsed = ChatRequest.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(
    ({path, message}) => `${path.join('.') || 'body'}: ${message}`,
  );
  return raise('invalid-request', problems.join('; '));
}

/** The prompt text that is sent to engines. */
export function buildPrompt(request: ChatRequest): string {
  return request.messages.map(m => `${m.role}: ${m.content}`).join('\n');
}
