/** Assigns versions to changes of this instance's load, so that answers include only what changed. */
import type { DigestUpdate, InstanceDigest, Load, TeamDigest, TeamLoad } from '../model/digest.ts'
import { DIMENSIONS, NO_RESOURCES } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'

interface WithRevision<Item> {
  readonly item: Item
  /** Revision of the table at the last change of the item. */
  readonly revision: number
}

/**
 * Each start and end of a task changes the entries of teams. Without a limit, these entries were two thirds of all
 * control messages at 31 instances under load.
 */
export interface UpdateTiming {
  readonly now: number
  /** Minimum interval between updates of the teams. */
  readonly teamIntervalMs: number
}

/** Handle by which an answering instance refers to itself. */
const OWN_HANDLE = 0

function isSame (left: Resources, right: Resources): boolean {
  return DIMENSIONS.every(dimension => left[dimension] === right[dimension])
}

function isSameTeam (left: TeamDigest, right: TeamDigest): boolean {
  return left.queued === right.queued && isSame(left.used, right.used) && isSame(left.spare, right.spare)
}

export class OwnLoad {
  #load: WithRevision<Load> | undefined
  /** Keeps teams without any load, so that every caller learns that their load ended. */
  readonly #teams = new Map<string, WithRevision<TeamLoad>>()
  #version = 0
  #teamsChangedAt = -Infinity

  update ({ free, largestFree, queued, teams }: InstanceDigest, { now, teamIntervalMs }: UpdateTiming, nextRevision: () => number): void {
    const old = this.#load?.item
    const version = this.#version + 1
    const isSameLoad = old !== undefined && old.queued === queued && isSame(old.free, free) && isSame(old.largestFree, largestFree)
    const changed = now - this.#teamsChangedAt < teamIntervalMs ? [] : this.#findChangedTeams(teams)
    if (isSameLoad && changed.length === 0) return
    const revision = nextRevision()
    this.#version = version
    if (!isSameLoad) this.#load = { item: { version, free, largestFree, queued }, revision }
    if (changed.length > 0) this.#teamsChangedAt = now
    for (const team of changed) this.#teams.set(team.team, { item: { ...team, version }, revision })
  }

  /** Creates the own entry for a caller whose last answer had the given revision. */
  createUpdate (digest: InstanceDigest, knownRevision: number, withoutLoad: boolean): DigestUpdate {
    const { ref, state, configurationVersion, storeReadAge, quietAge, dataCentre, region, peerAddress } = digest
    const isNew = knownRevision === 0
    const isMissing = ({ revision }: { readonly revision: number }): boolean => !withoutLoad && revision > knownRevision
    return {
      handle: OWN_HANDLE,
      ref: isNew ? ref : undefined,
      state,
      configurationVersion,
      heardAge: 0,
      storeReadAge,
      quietAge,
      place: isNew ? { dataCentre, region, peerAddress } : undefined,
      load: this.#load !== undefined && isMissing(this.#load) ? this.#load.item : undefined,
      teams: [...this.#teams.values()].filter(isMissing).map(({ item }) => item)
    }
  }

  #findChangedTeams (teams: readonly TeamDigest[]): readonly TeamDigest[] {
    const stated = new Set(teams.map(({ team }) => team))
    const ended = [...this.#teams.values()].map(({ item }) => item).filter(({ team }) => !stated.has(team))
      .map(({ team }) => ({ team, used: NO_RESOURCES, spare: NO_RESOURCES, queued: 0 }))
    return [...teams, ...ended].filter(team => {
      const old = this.#teams.get(team.team)
      return old === undefined || !isSameTeam(old.item, team)
    })
  }
}
