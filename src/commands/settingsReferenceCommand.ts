/** `settings reference`: prints the content of docs/settings.md. */
import type { Argv } from 'yargs'
import { renderSettingsReference } from '../settings/reference.ts'
import type { CommandFactory } from './commandBuilder.ts'
import { EXIT_CODES } from './commandContext.ts'

export const createSettingsReferenceCommand: CommandFactory = ({ context, run }) => ({
  command: 'reference',
  describe: 'Print all settings with units, ranges and defaults as Markdown',
  builder: (parser: Argv) => parser.example('$0 settings reference > docs/settings.md', 'Update the page after a schema change'),
  handler: async () => await run(async () => {
    context.print(renderSettingsReference().trimEnd())
    return EXIT_CODES.done
  })
})
