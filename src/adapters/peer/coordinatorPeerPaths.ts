/** HTTP paths of the job calls between instances. */

export const PEER_PATHS = {
  handle: '/jobs/handle',
  report: '/jobs/report',
  release: '/jobs/release',
  reachesStore: '/jobs/reaches-store',
  advise: '/jobs/advise'
} as const
