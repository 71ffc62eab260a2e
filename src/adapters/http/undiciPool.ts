/** The connection pool of undici, without its index, which also loads `fetch`, cookies and mocks at each start of the program. */
import api from 'undici/lib/api/index.js'
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js'
import Pool from 'undici/lib/dispatcher/pool.js'

// The index adds these methods, such as `request`, to all dispatchers.
Object.assign(Dispatcher.prototype, api)

export { Pool }
