/** Rendezvous hashing: each key ranks the nodes, and adding or removing a node moves only the keys of that node. */
import murmurhash from 'murmurhash'

const { v3: hash } = murmurhash

/**
 * Sorts nodes by their weight for a key, highest first.
 *
 * @example
 * const [responsible] = rankNodes('claim/3', liveInstances)
 */
export function rankNodes (key: string, nodes: readonly string[]): readonly string[] {
  return nodes.map(node => ({ node, weight: hash(`${key}\n${node}`) }))
    .sort((left, right) => left.weight === right.weight ? (left.node < right.node ? -1 : 1) : left.weight > right.weight ? -1 : 1)
    .map(({ node }) => node)
}
