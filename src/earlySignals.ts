/**
 * Ignores SIGHUP while an instance on the platform starts, because the signal's default action would end the
 * process. Imported first, since loading the other modules takes a fraction of a second. Other commands keep the
 * default action, so that they end when their terminal closes.
 */
if (process.argv.includes('--platform')) process.on('SIGHUP', () => {})
