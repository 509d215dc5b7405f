/**
 * Keys by which requests that end upstreams are recognized when they come again. A
 * key names one request or a segment of prompts; a request has one key for each
 * identity of its caller. Callers send a request again with the same path and body.
 */
import {createHash} from 'node:crypto';

/** What a request has in common with others that may end upstreams. */
export interface RequestTraits {
  /** Path with its query. */
  readonly target: string;
  readonly body: Buffer;
  /** Bearer key, if the caller sent one. */
  readonly callerKey?: string;
  /** Name of the customer that the bearer key belongs to. */
  readonly customer?: string;
  /** Ids of the prompt segments that other requests may share, the first one first. */
  readonly segments: readonly string[];
}

const HASH_CHAR_COUNT = 16;
const SEGMENT_PREFIX = 'segment ';

function shortHash(...parts: readonly (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part);
  return hash.digest('hex').slice(0, HASH_CHAR_COUNT);
}

/**
 * Identities of a caller. Each of them outlives a change of the configuration: the
 * key if the customer is renamed or the key moves to another one, the name if the key
 * is replaced.
 */
function listIdentities({callerKey, customer}: RequestTraits): string[] {
  const identities: string[] = [];
  if (callerKey !== undefined) identities.push(`key ${callerKey}`);
  if (customer !== undefined) identities.push(`customer ${customer}`);
  return identities.length > 0 ? identities : ['anonymous'];
}

/** Keys of a request itself. */
export function listRequestKeys(traits: RequestTraits): string[] {
  const content = shortHash(JSON.stringify(traits.target), traits.body);
  return listIdentities(traits).map(
    identity => `request ${content} ${shortHash(identity)}`,
  );
}

/** Keys of the segments that a request shares with others, the deepest one first. */
export function listSegmentKeys({segments}: RequestTraits): string[] {
  return segments.map(id => SEGMENT_PREFIX + id).reverse();
}

/** Whether different requests may have a key in common. */
export function isSharedKey(key: string): boolean {
  return key.startsWith(SEGMENT_PREFIX);
}

/** What a key names, whatever the identity of the caller. */
export function subjectOf(key: string): string {
  return key.split(' ', 2).join(' ');
}
