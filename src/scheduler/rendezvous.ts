/** Rendezvous hashing: each key ranks the nodes, and a change of one node moves only the keys that it held. */
import createXxhash from 'xxhash-wasm'

const { h64 } = await createXxhash()

/**
 * Orders nodes by their weight for a key, highest first.
 *
 * @example
 * const [responsible] = rankNodes('claim/3', liveInstances)
 */
export function rankNodes (key: string, nodes: readonly string[]): readonly string[] {
  return nodes.map(node => ({ node, weight: h64(`${key}\n${node}`) }))
    .sort((left, right) => left.weight === right.weight ? (left.node < right.node ? -1 : 1) : left.weight > right.weight ? -1 : 1)
    .map(({ node }) => node)
}
