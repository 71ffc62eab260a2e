/** `key`: creates, withdraws and lists keys. A key is shown once; the cluster keeps only its hash. */
import { createHash } from 'node:crypto'
import type { Argv } from 'yargs'
import { KEY_PREFIX } from '../observability/logger.ts'
import { withChange, withConnection } from './commandBuilder.ts'
import type { ChangeArguments, CommandFactory, ConnectionArguments, Subcommand } from './commandBuilder.ts'
import { EXIT_CODES } from './commandContext.ts'
import type { CommandContext } from './commandContext.ts'
import { formatTable } from './formatTable.ts'
import { useOperatorClient } from './operatorClient.ts'
import { submitChange } from './submitChange.ts'
import type { ChangePlan } from './submitChange.ts'

const KEY_BYTES = 32
const IDENTITY_BYTES = 4
/** Leaves room for a hyphen and the random part within 63 characters. */
const MOST_TEAM_CHARACTERS = 54

interface KeyArguments extends ChangeArguments {
  readonly team: string
  readonly id?: string
}

function planKey (given: KeyArguments, context: CommandContext): ChangePlan {
  const key = `${KEY_PREFIX}${context.createRandom(KEY_BYTES).toString('base64url')}`
  const hash = createHash('sha256').update(key).digest('hex')
  const keyId = given.id ?? `${given.team.slice(0, MOST_TEAM_CHARACTERS)}-${context.createRandom(IDENTITY_BYTES).toString('hex')}`
  return {
    operations: [{ type: 'createKey', keyId, team: given.team, hash }],
    onAccepted: {
      lines: ['', `The key, shown only this once: ${key}`, 'Callers send it as: Authorization: Bearer KEY'],
      fields: { keyId, key }
    },
    onUnknown: `Run \`key list\` when an instance can be reached. If key ${keyId} is there, withdraw it, since its text was not shown; then create another.`
  }
}

const createKeyCreateCommand: CommandFactory = ({ context, run }) => ({
  command: 'create <team>',
  describe: 'Create a key and show it, only this once',
  builder: (parser: Argv) => withChange(parser)
    .positional('team', { type: 'string', demandOption: true, describe: 'Team whose work the key admits' })
    .option('id', { type: 'string', requiresArg: true, describe: 'Identity of the key in lists (random if left out)' })
    .example('$0 key create weavers', 'To replace a key: create, hand over, withdraw the old one'),
  handler: async (given: KeyArguments) => await run(async () => {
    const plan = planKey(given, context)
    return await submitChange(given, context, () => plan)
  })
})

const createKeyWithdrawCommand: CommandFactory = ({ context, run }) => ({
  command: 'withdraw <key-id>',
  describe: 'Withdraw a key by its identity',
  builder: (parser: Argv) => withChange(parser)
    .positional('key-id', { type: 'string', demandOption: true, describe: 'Identity as shown by `key list`' })
    .example('$0 key withdraw weavers-0a1b2c3d', 'The answer says when the key has stopped working in each data centre'),
  handler: async (given: ChangeArguments & { readonly keyId: string }) => await run(async () => await submitChange(given, context, ({ keys }) => {
    const isWithdrawn = keys.some(key => key.keyId === given.keyId && key.withdrawn)
    return isWithdrawn
      ? { operations: [], remarks: [`Key ${given.keyId} was withdrawn before.`] }
      : { operations: [{ type: 'withdrawKey', keyId: given.keyId }] }
  }))
})

const createKeyListCommand: CommandFactory = ({ context, run }) => ({
  command: 'list',
  describe: 'List keys by identity and team; never their text',
  builder: (parser: Argv) => withConnection(parser)
    .option('team', { type: 'string', requiresArg: true, describe: 'Only keys of this team' })
    .example('$0 key list --team weavers', 'Find the identity of a key to withdraw'),
  handler: async (given: ConnectionArguments & { readonly team?: string }) => await run(async () => {
    const snapshot = await useOperatorClient(given, context, async client => await client.readConfiguration())
    const keys = snapshot.keys
      .filter(key => given.team === undefined || key.team === given.team)
      .map(({ keyId, team, withdrawn }) => ({ keyId, team, state: withdrawn ? 'withdrawn' : 'valid' }))
    if (given.json) context.print(JSON.stringify(keys, null, 2))
    else if (keys.length === 0) context.print('There are no such keys.')
    else context.print(formatTable([['KEY', 'TEAM', 'STATE'], ...keys.map(({ keyId, team, state }) => [keyId, team, state])]))
    return EXIT_CODES.done
  })
})

export const createKeyCommand: CommandFactory = (tools): Subcommand => ({
  command: 'key',
  describe: 'Create, withdraw and list keys',
  builder: (parser: Argv) => parser
    .command(createKeyCreateCommand(tools))
    .command(createKeyWithdrawCommand(tools))
    .command(createKeyListCommand(tools))
    .demandCommand(1, 'Name one of: create, withdraw, list.'),
  handler: () => {}
})
