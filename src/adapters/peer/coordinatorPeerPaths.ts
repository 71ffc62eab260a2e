/** Paths of the calls between instances about jobs. */

export const PEER_PATHS = {
  handle: '/jobs/handle',
  report: '/jobs/report',
  release: '/jobs/release',
  reachesStore: '/jobs/reaches-store',
  advise: '/jobs/advise'
} as const
