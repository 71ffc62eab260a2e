/** `status`: shows the state of the cluster as one instance knows it. */
import type { Argv } from 'yargs'
import type { ContactStatus, StatusReport } from '../observability/operatorApi.ts'
import { withConnection } from './commandBuilder.ts'
import type { CommandFactory, ConnectionArguments } from './commandBuilder.ts'
import { EXIT_CODES } from './commandContext.ts'
import { formatAge, formatLimit, formatResources, formatTable } from './formatTable.ts'
import { withOperatorClient } from './operatorClient.ts'

function formatContact ({ reachable, lastAnswerAgeMs }: ContactStatus): string {
  return `${reachable ? 'reachable' : 'UNREACHABLE'}, last response ${formatAge(lastAnswerAgeMs)}`
}

function formatSection (title: string, header: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
  return rows.length === 0 ? ['', `${title}: none`] : ['', `${title}:`, formatTable([header, ...rows])]
}

function formatSummary (report: StatusReport): string {
  return formatTable([
    ['instance', `${report.instance.name} (${report.instance.incarnation}), ${report.state}`],
    ['data centre', `${report.dataCentre}, region ${report.region}`],
    ['configuration', `version ${report.configurationVersion}, confirmed current ${formatAge(report.configurationAgeMs)}`],
    ['store', formatContact(report.store)],
    ['list', formatContact(report.list)]
  ])
}

/** Formats a status report as text. */
export function formatStatus (report: StatusReport): string {
  const { peers, targets, teams, aboveLimit, drains } = report
  return [
    formatSummary(report),
    ...formatSection('Teams', ['TEAM', 'SHARE', 'USED', 'LIMIT', 'HELD HERE', 'WAITING'], teams.map(team =>
      [team.team, String(team.share), formatResources(team.used), formatLimit(team.limit), formatResources(team.held), String(team.queued)])),
    ...formatSection('Teams above a lowered limit', ['TEAM', 'DATA CENTRE', 'HELD', 'REACHABLE'], aboveLimit.map(entry =>
      [entry.team, entry.dataCentre, formatResources(entry.held), entry.reachable ? 'yes' : 'NO'])),
    ...formatSection('Targets of this instance', ['TARGET', 'TYPE', 'RACK', 'FREE', 'CAPACITY', 'STATE'], targets.map(target =>
      [target.id, target.type, target.rack, formatResources(target.free), formatResources(target.capacity), target.state])),
    ...formatSection('Other instances', ['INSTANCE', 'DATA CENTRE', 'STATE', 'VERSION', 'LAST HEARD'], peers.map(peer =>
      [peer.ref.name, peer.dataCentre, peer.state, String(peer.configurationVersion), formatAge(peer.heardAgeMs)])),
    ...formatSection('Draining', ['SCOPE', 'NAME'], drains.map(drain => [drain.scope === 'dataCentre' ? 'data-centre' : drain.scope, drain.name]))
  ].join('\n')
}

export const createStatusCommand: CommandFactory = ({ context, run }) => ({
  command: 'status',
  describe: 'Show the state of an instance: targets, teams and other instances',
  builder: (parser: Argv) => withConnection(parser).example('$0 status --address 10.0.0.5:8001', 'docs/operating.md explains the output'),
  handler: async (args: ConnectionArguments) => await run(async () => {
    const report = await withOperatorClient(args, context, async client => await client.readStatus())
    context.print(args.json ? JSON.stringify(report, null, 2) : formatStatus(report))
    return EXIT_CODES.done
  })
})
