/** Checks that a team named by a command exists. */
import type { ConfigurationSnapshot, SettingsPath } from '../model/change.ts'
import { listTeams } from '../settings/tree.ts'
import { suggestName } from '../settings/values.ts'
import { CommandError, EXIT_CODES } from './commandContext.ts'
import { readTeamPath } from './settingArguments.ts'

/** Returns the branch of an existing team. Rejects unknown names, since a typing error would create a new branch. */
export function requireTeam (snapshot: ConfigurationSnapshot, team: string): SettingsPath {
  const path = readTeamPath(team)
  const teams = listTeams(snapshot.settings)
  if (teams.includes(team)) return path
  const suggestion = teams.length === 0 ? 'create it with `team create`' : suggestName(team, teams)
  throw new CommandError(`there is no team ${team}; ${suggestion}`, EXIT_CODES.rejected)
}
