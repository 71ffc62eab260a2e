/** Helpers of the multi-process tests: the program, teams and task records. */
import type { TaskHistory } from '../../src/adapters/target/standInTask.ts'
import type { Cluster } from './cluster.ts'

/** Built by scripts/test.sh before the tests. */
export const PROGRAM: readonly string[] = ['dist/agategauge']

/** Arguments with which a change is answered once all data centres have it; the default wait is too short on a busy machine. */
export const UNTIL_IN_FORCE: readonly string[] = ['--wait', '1 min']

/** Creates a team and an API key with the command line and returns the key. */
export async function createTeam (cluster: Cluster, team: string, options: readonly string[]): Promise<string> {
  const instance = cluster.instances[0]!
  const created = await cluster.runCommand(instance, 'team', 'create', team, ...options, ...UNTIL_IN_FORCE)
  if (created.code !== 0) throw new Error(`team create exited with ${created.code}: ${created.errorOutput}`)
  const answer = await cluster.runCommand(instance, 'key', 'create', team, '--json', ...UNTIL_IN_FORCE)
  if (answer.code !== 0) throw new Error(`key create exited with ${answer.code}: ${answer.errorOutput}`)
  return (JSON.parse(answer.output) as { readonly key: string }).key
}

/** Returns the task records of all targets whose request id matches. */
export async function findRuns (cluster: Cluster, matches: (requestId: string) => boolean): Promise<readonly TaskHistory[]> {
  return (await cluster.readRecords()).flatMap(({ history }) => history).filter(({ requestId }) => matches(requestId))
}
