/** Server-sent events of a response as a sequence of frames. */
import {createParser} from 'eventsource-parser';
import type {IncomingMessage} from 'node:http';

/** One server-sent event. */
export interface Frame {
  readonly event: string;
  readonly data: string;
}

/** Largest frame that an upstream may send, characters. */
const MAX_FRAME_CHARS = 1 << 20;

/** Yields frames until the response ends; throws when it breaks. */
export async function* readFrames(
  response: IncomingMessage,
): AsyncGenerator<Frame> {
  const ready: Frame[] = [];
  const parser = createParser({
    onEvent: ({event, data}) => ready.push({event: event ?? 'message', data}),
  });
  response.setEncoding('utf8');
  let pending = 0;
  for await (const chunk of response as AsyncIterable<string>) {
    pending += chunk.length;
    if (pending > MAX_FRAME_CHARS) throw new Error('frame is too large');
    parser.feed(chunk);
    if (ready.length > 0) pending = 0;
    for (const frame of ready.splice(0)) yield frame;
  }
  if (!response.complete) throw new Error('the stream was cut');
}
