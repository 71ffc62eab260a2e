/** Identities of the tasks of one attempt at a request. */

/**
 * Returns the identities of an attempt's tasks: that of the attempt if there is one task, numbered ones otherwise.
 *
 * @example
 * createTaskIds('5c0e.1', 2) // ['5c0e.1-0', '5c0e.1-1']
 */
export function createTaskIds (attemptId: string, tasks: number): readonly string[] {
  return tasks === 1 ? [attemptId] : Array.from({ length: tasks }, (_, index) => `${attemptId}-${index}`)
}

/** Whether the task belongs to the attempt; attempt 1 is no prefix of attempt 10. */
export function isTaskOfAttempt (taskId: string, attemptId: string): boolean {
  return taskId === attemptId || taskId.startsWith(`${attemptId}-`)
}
