/** Types of the modules that `undiciPool` loads; undici declares those of its index only. */
declare module 'undici/lib/api/index.js' {
  const api: object
  export default api
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
  import { Dispatcher } from 'undici'
  export default Dispatcher
}

declare module 'undici/lib/dispatcher/pool.js' {
  import { Pool } from 'undici'
  export default Pool
}
