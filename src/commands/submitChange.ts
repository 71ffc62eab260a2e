/** Shows, validates and submits a change, and reports its outcome. */
import type { ConfigurationSnapshot, Operation } from '../model/change.ts'
import type { ChangeAnswer } from '../observability/operatorApi.ts'
import { describeOperations } from '../settings/describe.ts'
import { validateOperations } from '../settings/validate.ts'
import { readWait } from './commandBuilder.ts'
import type { ChangeArguments } from './commandBuilder.ts'
import { EXIT_CODES } from './commandContext.ts'
import type { CommandContext, ExitCode } from './commandContext.ts'
import { formatResources, formatWallTime } from './formatTable.ts'
import { withOperatorClient } from './operatorClient.ts'

export interface ChangePlan {
  readonly operations: readonly Operation[]
  /** Lines printed after the changes, such as settings that are left unchanged. */
  readonly notes?: readonly string[]
  /** Output printed only if the change is accepted, such as a new key. */
  readonly onAccepted?: { readonly lines: readonly string[], readonly fields: Readonly<Record<string, string>> }
  /** Advice printed if it remains unknown whether the change was accepted. */
  readonly onUnknown?: string
}

type AcceptedAnswer = Extract<ChangeAnswer, { readonly outcome: 'accepted' }>
type ConflictAnswer = Extract<ChangeAnswer, { readonly outcome: 'conflict' }>

function describeAccepted ({ version, confirmations, aboveLimit }: AcceptedAnswer): readonly string[] {
  const confirmed = confirmations.filter(({ confirmed }) => confirmed).map(({ dataCentre }) => dataCentre)
  return [
    `Accepted as version ${version}.`,
    ...(confirmed.length > 0 ? [`In force in: ${confirmed.join(', ')}.`] : []),
    ...confirmations.filter(({ confirmed }) => !confirmed).map(({ dataCentre, refusesKeyedWorkByWallMs: deadlineWallMs }) => deadlineWallMs === undefined
      ? `Not yet confirmed by ${dataCentre}.`
      : `Not yet confirmed by ${dataCentre}: if it does not receive the change, it rejects all requests with a key from ${formatWallTime(deadlineWallMs)} at the latest.`),
    ...aboveLimit.map(({ team, dataCentre, reachable, held }) =>
      `Above the lowered limit: team ${team} still holds ${formatResources(held)} in ${dataCentre}${reachable ? '' : ' (unreachable)'}. Running tasks are not stopped; the amount decreases as they end.`)
  ]
}

function describeConflict ({ winner, paths }: ConflictAnswer, snapshot: ConfigurationSnapshot): readonly string[] {
  return [
    `Conflict: a newer change to ${paths.join(', ')} was accepted first. Nothing was changed.`,
    `${winner.operator} submitted it; accepted as version ${winner.version} at ${formatWallTime(winner.acceptedAt)}:`,
    ...describeOperations(snapshot, winner.operations).map(line => `  ${line}`),
    'Check whether your change still applies, then run the command again.'
  ]
}

interface Outcome {
  readonly lines: readonly string[]
  readonly exitCode: ExitCode
}

function describeOutcome (answer: ChangeAnswer, snapshot: ConfigurationSnapshot, plan: ChangePlan): Outcome {
  switch (answer.outcome) {
    case 'accepted': {
      const isConfirmed = answer.confirmations.every(({ confirmed }) => confirmed)
      return { lines: [...describeAccepted(answer), ...plan.onAccepted?.lines ?? []], exitCode: isConfirmed ? EXIT_CODES.done : EXIT_CODES.unconfirmed }
    }
    case 'conflict': return { lines: describeConflict(answer, snapshot), exitCode: EXIT_CODES.rejected }
    case 'invalid': return { lines: ['Rejected. Nothing was changed.', ...answer.messages.map(message => `  ${message}`)], exitCode: EXIT_CODES.rejected }
    case 'unavailable': {
      const lines = answer.mayHaveBeenAccepted
        ? [`Unknown whether the change was accepted: ${answer.message}.`, plan.onUnknown ?? 'Run the command again when the store and an instance are reachable; if it prints "Nothing to change", the change was accepted.']
        : [`Not accepted: ${answer.message}. Nothing was changed; try again later.`]
      return { lines, exitCode: EXIT_CODES.unreachable }
    }
  }
}

class ChangeReporter {
  readonly #context: CommandContext
  readonly #json: boolean

  constructor (context: CommandContext, json: boolean) {
    this.#context = context
    this.#json = json
  }

  print (lines: readonly string[], isError = false): void {
    if (this.#json || lines.length === 0) return
    const print = isError ? this.#context.printError : this.#context.print
    print(lines.join('\n'))
  }

  printJson (value: unknown): void {
    if (this.#json) this.#context.print(JSON.stringify(value, null, 2))
  }
}

/**
 * Reads the configuration, creates a change based on it, and submits the change.
 *
 * @example
 * await submitChange(given, context, () => ({ operations: [{ type: 'withdrawKey', keyId }] }))
 */
export async function submitChange (args: ChangeArguments, context: CommandContext, createPlan: (snapshot: ConfigurationSnapshot) => ChangePlan): Promise<ExitCode> {
  const waitMs = readWait(args.wait)
  return await withOperatorClient(args, context, async client => {
    const reporter = new ChangeReporter(context, args.json)
    const snapshot = await client.readConfiguration()
    const plan = createPlan(snapshot)
    const { operations, notes = [] } = plan
    const changes = describeOperations(snapshot, operations)
    if (changes.length === 0) {
      reporter.print(['Nothing to change.', ...notes])
      reporter.printJson({ outcome: 'unchanged', version: snapshot.version })
      return EXIT_CODES.done
    }
    const messages = validateOperations(snapshot, operations)
    reporter.print(['Changes:', ...changes.map(line => `  ${line}`), ...notes])
    if (messages.length > 0 || args.dryRun) {
      const outcome = messages.length > 0 ? describeOutcome({ outcome: 'invalid', messages }, snapshot, plan) : { lines: ['Dry run: nothing was changed.'], exitCode: EXIT_CODES.done }
      reporter.print(outcome.lines, messages.length > 0)
      reporter.printJson(messages.length > 0 ? { outcome: 'invalid', messages } : { outcome: 'dry-run', changes, operations })
      return outcome.exitCode
    }
    const operator = args.operator ?? context.operator
    const answer = await client.submitChange({ id: context.createChangeId(), baseVersion: snapshot.version, operator, operations, waitMs })
    const { lines, exitCode } = describeOutcome(answer, snapshot, plan)
    reporter.print(lines, answer.outcome !== 'accepted')
    reporter.printJson({ ...answer, changes, ...answer.outcome === 'accepted' ? plan.onAccepted?.fields : {} })
    return exitCode
  })
}
