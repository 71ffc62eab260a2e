/** Chooses targets for the tasks of one step. */
import type { StepDefinition } from '../../jobs/job.ts'
import type { Resources } from '../../model/resources.ts'

/** The resources that placement checks on each target; slots are not considered. */
export type ComputeResources = Pick<Resources, 'processors' | 'memory' | 'accelerators'>

/** The state of a target that placement decisions depend on. */
export interface TargetAvailability {
  readonly key: string
  readonly free: ComputeResources
  readonly rack: string
  readonly labels: readonly string[]
  /** Tasks of the same step and occurrence on the target. */
  readonly sameStepTasks: number
  /** Tasks with a response target never share a target with tasks that fill spare processors. */
  readonly hasResponseTargetTasks: boolean
  readonly hasSpareFillingTasks: boolean
  /** Whether a task of the step failed on the target, or the target is slow or leaves start requests unanswered; such targets come last. */
  readonly isUnreliable: boolean
}

interface Candidate {
  readonly target: TargetAvailability
  processors: number
  memory: number
  accelerators: number
  slots: number
}

/** Resources that a task reserves on a target; a task that fills spare processors reserves no processors. */
export function requiredResources ({ size, fillsSpareProcessors }: StepDefinition): Resources {
  return fillsSpareProcessors ? { ...size, processors: 0 } : size
}

/**
 * Returns the target of each task that fits, using best fit: targets with the fewest free processors come first, so
 * that targets with much free capacity remain for large tasks. A gang is placed as a whole or not at all.
 *
 * @example
 * placeStep(definition, 4, targets) // ['target-3', 'target-3', 'target-1', 'target-1']
 */
export function placeStep (definition: StepDefinition, count: number, targets: readonly TargetAvailability[]): readonly string[] {
  const size = requiredResources(definition)
  const candidates = targets.filter(target => isSuitable(definition, target)).map(target => toCandidate(definition, target))
  if (definition.sameRack) {
    const onOneRack = placeOnOneRack(definition, size, count, candidates)
    if (onOneRack.length === count) return onOneRack
  }
  const placed = fillCandidates(size, count, sortCandidates(definition, candidates))
  return definition.gang && placed.length < count ? [] : placed
}

/** Whether the target may run the step, regardless of capacity. */
export function isSuitable (definition: StepDefinition, target: TargetAvailability): boolean {
  if (definition.requiredLabel !== '' && !target.labels.includes(definition.requiredLabel)) return false
  if (definition.fillsSpareProcessors && target.hasResponseTargetTasks) return false
  return !(definition.responseTargetMs > 0 && target.hasSpareFillingTasks)
}

function toCandidate (definition: StepDefinition, target: TargetAvailability): Candidate {
  const slots = definition.tasksPerTarget > 0 ? Math.max(0, definition.tasksPerTarget - target.sameStepTasks) : Infinity
  return { target, ...target.free, slots }
}

function sortCandidates (definition: StepDefinition, candidates: readonly Candidate[]): readonly Candidate[] {
  const distance = ({ target }: Candidate): number => definition.dataRack === '' || target.rack === definition.dataRack ? 0 : 1
  const unreliable = ({ target }: Candidate): number => target.isUnreliable ? 1 : 0
  return [...candidates].sort((left, right) =>
    unreliable(left) - unreliable(right) || distance(left) - distance(right) || left.processors - right.processors)
}

function fillCandidates (size: Resources, count: number, candidates: readonly Candidate[]): readonly string[] {
  const placed: string[] = []
  for (const candidate of candidates) {
    while (placed.length < count && fits(size, candidate)) {
      candidate.processors -= size.processors
      candidate.memory -= size.memory
      candidate.accelerators -= size.accelerators
      candidate.slots -= 1
      placed.push(candidate.target.key)
    }
    if (placed.length === count) break
  }
  return placed
}

function fits (size: Resources, candidate: Candidate): boolean {
  return candidate.slots > 0 && fitsWithin(size, candidate)
}

/** Number of tasks of the size that fit into the free resources. */
export function countFitting (size: ComputeResources, free: ComputeResources): number {
  return Math.max(0, Math.min(countWithin(free.processors, size.processors), countWithin(free.memory, size.memory), countWithin(free.accelerators, size.accelerators)))
}

function countWithin (available: number, required: number): number {
  return required <= 0 ? Infinity : Math.floor(available / required)
}

/** Whether one task of the size fits into the free resources. */
export function fitsWithin (size: ComputeResources, free: ComputeResources): boolean {
  return size.processors <= free.processors && size.memory <= free.memory && size.accelerators <= free.accelerators
}

function placeOnOneRack (definition: StepDefinition, size: Resources, count: number, candidates: readonly Candidate[]): readonly string[] {
  const racks = new Map<string, Candidate[]>()
  for (const candidate of candidates) {
    const rack = racks.get(candidate.target.rack) ?? []
    rack.push({ ...candidate })
    racks.set(candidate.target.rack, rack)
  }
  const holdsData = (rack: string): boolean => definition.dataRack !== '' && rack === definition.dataRack
  for (const [, rack] of [...racks].sort(([left], [right]) => Number(holdsData(right)) - Number(holdsData(left)))) {
    const placed = fillCandidates(size, count, sortCandidates(definition, rack))
    if (placed.length === count) return placed
  }
  return []
}
