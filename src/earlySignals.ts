/**
 * Keeps a reload signal from ending an instance on the platform before it has started. Imported first, since
 * loading the rest takes a part of a second; other commands end with their terminal.
 */
if (process.argv.includes('--platform')) process.on('SIGHUP', () => {})
