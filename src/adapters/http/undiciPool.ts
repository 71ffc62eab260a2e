/** The connection pool of undici. Its index also loads `fetch`, cookies and mocks, which take a fifth of the processor time of a start. */
import api from 'undici/lib/api/index.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import Pool from 'undici/lib/dispatcher/pool.js'

// The index adds these methods, such as `request`, to all dispatchers.
Object.assign(Dispatcher.prototype, api)

export { Pool }
