/**
 * Which upstreams a request compares. In a large deployment all nodes see the
 * same load, some hundred milliseconds old, and would send all requests of that
 * time to the same least loaded upstreams. A few random ones, compared by load,
 * spread the requests and still avoid the crowded upstreams. Where the load is
 * young, all upstreams are compared.
 */

/** Random upstreams of the node's own failure domain, and of all. */
const SAME_DOMAIN_COUNT = 2;
const ANY_DOMAIN_COUNT = 3;

/** Moves randomly drawn elements from one list to another. */
function draw<T>(from: T[], to: Set<T>, count: number, random: () => number) {
  for (let drawn = 0; drawn < count && from.length > 0; drawn += 1) {
    const index = Math.floor(random() * from.length);
    to.add(from[index]);
    from[index] = from[from.length - 1];
    from.pop();
  }
}

/** Upstreams to compare, and those that are compared in any case. */
export function sampleCandidates<T>(
  upstreams: readonly T[],
  isSameDomain: (upstream: T) => boolean,
  always: Iterable<T>,
  random: () => number,
): T[] {
  const sampled = new Set<T>(always);
  draw(upstreams.filter(isSameDomain), sampled, SAME_DOMAIN_COUNT, random);
  draw([...upstreams], sampled, ANY_DOMAIN_COUNT, random);
  return [...sampled];
}
