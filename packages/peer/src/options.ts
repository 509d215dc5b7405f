/** Options of connections between peers. */

/**
 * Maximum size of a message; a node that is far behind gets all items of the store in
 * one, each with a value of up to 1 MB.
 */
const MAX_MESSAGE_BYTES = 16 << 20;

/** Options of every connection and server. */
export const MESSAGE_OPTIONS = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
} as const;
