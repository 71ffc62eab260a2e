/** Rendezvous hashing: each key ranks the nodes, and a change of one node moves only the keys that it held. */
import murmurhash from 'murmurhash'

const { v3: hash } = murmurhash

/**
 * Orders nodes by their weight for a key, highest first.
 *
 * @example
 * const [responsible] = rankNodes('claim/3', liveInstances)
 */
export function rankNodes (key: string, nodes: readonly string[]): readonly string[] {
  return nodes.map(node => ({ node, weight: hash(`${key}\n${node}`) }))
    .sort((left, right) => left.weight === right.weight ? (left.node < right.node ? -1 : 1) : left.weight > right.weight ? -1 : 1)
    .map(({ node }) => node)
}
