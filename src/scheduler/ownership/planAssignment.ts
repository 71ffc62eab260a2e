/** Assigns targets to instances by rendezvous hashing with a bound on the load of each instance. */
import { rankNodes } from '../rendezvous.ts'

/** Maximum number of targets of one instance, relative to the mean. */
const LOAD_FACTOR = 1.25

/**
 * Computes the intended owner of each target. Instances with the same targets and live members compute the same assignment.
 *
 * @example
 * planAssignment(['runner-1', 'runner-2'], ['howrah-1/4f', 'howrah-2/9c']).get('runner-1')
 */
export function planAssignment<Member extends string> (targets: readonly string[], liveMembers: readonly Member[]): ReadonlyMap<string, Member> {
  const plan = new Map<string, Member>()
  if (liveMembers.length === 0) return plan
  const bound = Math.ceil(LOAD_FACTOR * targets.length / liveMembers.length)
  const loads = new Map<string, number>()
  for (const target of [...targets].sort()) {
    const owner = rankNodes(target, liveMembers).find(member => (loads.get(member) ?? 0) < bound)
    if (owner === undefined) continue
    loads.set(owner, (loads.get(owner) ?? 0) + 1)
    plan.set(target, owner as Member)
  }
  return plan
}
