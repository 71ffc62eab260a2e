/** The directory in which targets register themselves. */
import type { TargetDescription } from '../jobs/jobRecords.ts'

export interface ListedTarget extends TargetDescription {
  /** The target is about to shut down and accepts no new tasks. */
  readonly draining: boolean
}

export interface TargetDirectory {
  /** Lists the registered targets; skips entries that do not describe a target, and rejects if the directory cannot be read. */
  list (): Promise<readonly ListedTarget[]>
}
