/** The list in which targets register themselves. */
import type { TargetDescription } from '../jobs/jobRecords.ts'

export interface ListedTarget extends TargetDescription {
  /** The target shuts down soon and takes no new tasks. */
  readonly draining: boolean
}

export interface TargetDirectory {
  /** Rejects if the list can not be read; entries that are not of targets are left out. */
  list (): Promise<readonly ListedTarget[]>
}
