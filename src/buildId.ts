/** Identifies the sources that the program was built from, so that one of earlier sources can be told from the current one. */

/** Set by scripts/build.mjs. */
declare const AGATEGAUGE_BUILD_ID: string | undefined

/** The identifier, which depends on nothing but the sources and packages; `sources` if the program is not built. */
export const BUILD_ID = typeof AGATEGAUGE_BUILD_ID === 'undefined' ? 'sources' : AGATEGAUGE_BUILD_ID
