/** Parses a response body as server-sent events. */
import {createParser} from 'eventsource-parser';
import type {IncomingMessage} from 'node:http';

/** One server-sent event. */
export interface Frame {
  readonly event: string;
  readonly data: string;
}

/** Limit on buffered input that has not yet completed a frame, characters. */
const MAX_FRAME_CHARS = 1 << 20;

/**
 * Yields frames until the response ends. Throws if the response is truncated or
 * a frame is too large.
 */
export async function* readFrames(
  response: IncomingMessage,
): AsyncGenerator<Frame> {
  const parsedFrames: Frame[] = [];
  const parser = createParser({
    onEvent: ({event, data}) =>
      parsedFrames.push({event: event ?? 'message', data}),
  });
  response.setEncoding('utf8');
  let unparsedChars = 0;
  for await (const chunk of response as AsyncIterable<string>) {
    unparsedChars += chunk.length;
    if (unparsedChars > MAX_FRAME_CHARS) throw new Error('frame too large');
    parser.feed(chunk);
    if (parsedFrames.length > 0) unparsedChars = 0;
    for (const frame of parsedFrames.splice(0)) yield frame;
  }
  if (!response.complete)
    throw new Error('event stream cut off before its end');
}
