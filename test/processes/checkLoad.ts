/** Compares the answers that callers received with the records of the targets. */
import type { Cluster } from './cluster.ts'
import { findRuns } from './testTeam.ts'
import type { LoadResult } from './load.ts'

/** Returns one line for each violation. */
export async function checkLoad (cluster: Cluster, results: readonly LoadResult[]): Promise<readonly string[]> {
  const ids = new Set(results.map(({ id }) => id))
  const runCounts = new Map<string, number>()
  for (const { requestId } of await findRuns(cluster, id => ids.has(id))) runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1)
  const violations: string[] = []
  for (const { id, repeatable, instance, answer } of results) {
    const count = runCounts.get(id) ?? 0
    if (answer.verdict === 'not-run' && count > 0) violations.push(`${id} at ${instance} was refused as not-run (${answer.code}) and ran`)
    if (!repeatable && count > 1) violations.push(`${id} is not repeatable and ran ${count} times`)
    if (answer.status === 200 && count === 0) violations.push(`${id} was answered with 200 but did not run`)
    if (answer.status === 200 && answer.body.toString() !== `"${id}"`) violations.push(`${id} received the wrong answer ${answer.body.toString()}`)
  }
  for (const { target, capacity, highestReserved } of await cluster.readRecords()) {
    for (const [dimension, reserved] of Object.entries(highestReserved)) {
      if (reserved > (capacity[dimension] ?? 0)) violations.push(`${target} had ${reserved} ${dimension} reserved, above its capacity`)
    }
  }
  return violations
}

/** Describes the answers other than 200, for assertion messages. */
export function describeFailures (results: readonly LoadResult[]): readonly string[] {
  return results.filter(({ answer }) => answer.status !== 200)
    .map(({ id, instance, answer }) => `${id} at ${instance}: ${answer.code ?? String(answer.error)} ${answer.verdict ?? ''} ${answer.status === undefined ? '' : answer.body.toString()}`)
}
