/** What admission reports for metrics. */
export interface AdmissionObserver {
  /** The job was refused with the given Retry-After. */
  observeRefusal (reason: string, retryAfterSeconds: number): void
  /** The first task of an accepted job has started; both times count from its acceptance. */
  observeStart (priority: number, expectedMs: number, actualMs: number): void
}
