/** The host of a call, as queues name it. */
/**
 * Returns the name under which the queues of a host are found, given the `Host` header of a call: without the port, in
 * lower case.
 *
 * @example
 * hostName('Orders.example:8183') // 'orders.example'
 */
export function hostName (header: string): string {
  return header.replace(/:\d+$/, '').toLowerCase()
}
