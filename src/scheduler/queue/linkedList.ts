/** Doubly linked list with removal of nodes in constant time. */

export interface ListNode<T> {
  readonly value: T
  previous: ListNode<T> | undefined
  next: ListNode<T> | undefined
}

export class LinkedList<T> {
  #first: ListNode<T> | undefined
  #last: ListNode<T> | undefined

  get first (): ListNode<T> | undefined {
    return this.#first
  }

  get last (): ListNode<T> | undefined {
    return this.#last
  }

  append (value: T): ListNode<T> {
    const node: ListNode<T> = { value, previous: this.#last, next: undefined }
    if (this.#last === undefined) this.#first = node
    else this.#last.next = node
    this.#last = node
    return node
  }

  /** Removes a node of this list. Each node may be removed only once. */
  remove (node: ListNode<T>): void {
    if (node.previous === undefined) this.#first = node.next
    else node.previous.next = node.next
    if (node.next === undefined) this.#last = node.previous
    else node.next.previous = node.previous
    node.previous = undefined
    node.next = undefined
  }
}
