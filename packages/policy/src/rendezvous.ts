/**
 * Rendezvous hashing on the entry path: all nodes rank a set of members in the
 * same way for a key without exchanging messages. A member that joins or leaves
 * does not change the order of the others. Names are hashed once; a ranking only
 * mixes 32-bit integers.
 */
import {createHash} from 'node:crypto';

/** Returns 32 bits of the SHA-256 hash of a name. */
export function hashName(name: string): number {
  return createHash('sha256').update(name).digest().readInt32LE();
}

export interface RendezvousMember {
  /** Result of `hashName` for the name of the member. */
  readonly digest: number;
}

function scoreMember(key: number, {digest}: RendezvousMember): number {
  // The finalizer of MurmurHash3, with its constants.
  let bits = key ^ digest;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

/** Returns the rank of a member among all for a key; 0 is the first. */
export function rankMember(
  key: number,
  member: RendezvousMember,
  members: Iterable<RendezvousMember>,
): number {
  const score = scoreMember(key, member);
  let rank = 0;
  for (const other of members) {
    if (scoreMember(key, other) > score) rank += 1;
  }
  return rank;
}

/** Returns the members that rank first for a key, the first one first. */
export function listFirstMembers<M extends RendezvousMember>(
  key: number,
  members: Iterable<M>,
  count: number,
): M[] {
  const first: {readonly member: M; readonly score: number}[] = [];
  for (const member of members) {
    const score = scoreMember(key, member);
    let position = first.length;
    while (position > 0 && first[position - 1].score < score) position -= 1;
    if (position >= count) continue;
    first.splice(position, 0, {member, score});
    if (first.length > count) first.pop();
  }
  return first.map(({member}) => member);
}
