/** Command-line options for a team's upper limit. */
import type { Argv } from 'yargs'
import type { Dimension } from '../model/resources.ts'
import { DIMENSIONS } from '../model/resources.ts'
import { LIMIT_SETTINGS } from '../settings/tree.ts'
import { UNSET_TEXT } from './settingArguments.ts'

export type LimitArguments = { readonly [Name in Dimension]?: string }

export function withLimits<Args> (parser: Argv<Args>): Argv<Args & LimitArguments> {
  const option = { type: 'string', requiresArg: true } as const
  return parser
    .option('slots', { ...option, describe: 'Runner slots, such as 40' })
    .option('processors', { ...option, describe: 'Processors, such as "32 cores"' })
    .option('memory', { ...option, describe: 'Memory, such as "64 GB"' })
    .option('accelerators', { ...option, describe: `Accelerators, such as 4; ${UNSET_TEXT} removes a limit` })
}

/** Maps the options to the names of their settings. */
export function readLimits (args: LimitArguments): Readonly<Record<string, string>> {
  return Object.fromEntries(DIMENSIONS.flatMap(dimension => {
    const text = args[dimension]
    return text === undefined ? [] : [[LIMIT_SETTINGS[dimension], text]]
  }))
}
