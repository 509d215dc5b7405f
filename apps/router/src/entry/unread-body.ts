/**
 * Ends answers to requests whose body has not been received. A connection that is
 * closed with unread bytes is reset, which may lose the answer; so the rest of the body
 * is discarded first, within limits.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {LimitKind, recordLimit} from './limit-uses.js';
import type {AccountNode} from './held-bytes.js';
import type {EntryNode} from './node.js';

function hasBody({headers}: IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}

/** Sends the whole body of an answer whose header is written, and then ends it. */
export function endAfterRequestBody(
  node: AccountNode & Pick<EntryNode, 'routes' | 'settings'>,
  response: ServerResponse,
  text: string,
): void {
  const {req: request} = response;
  if (request.complete || !hasBody(request)) return void response.end(text);
  response.write(text);
  const {socket} = request;
  const close = () => {
    recordLimit(node, LimitKind.refusedBody);
    socket.destroy();
  };
  const timer = setTimeout(close, node.settings.clients.refusedBodyMs);
  let bytesLeft = node.routes?.table.limits.bodyBytes ?? 0;
  request.on('data', (chunk: Buffer) => {
    bytesLeft -= chunk.length;
    if (bytesLeft < 0 && !socket.destroyed) close();
  });
  request.once('end', () => response.end());
  // Emitted for a complete body as well as for a closed connection.
  request.once('close', () => clearTimeout(timer));
}
