interface Entry<T> {
  at: number;
  order: number;
  item: T;
}

/** Min-heap of items by due time; items with the same due time are returned in insertion order. */
export class MinHeap<T> {
  private readonly entries: Entry<T>[] = [];
  private nextOrder = 0;

  private constructor() {}

  static create<T>(): MinHeap<T> {
    return new MinHeap<T>();
  }

  get size(): number {
    return this.entries.length;
  }

  /** Due time of the earliest item, or undefined when the heap is empty. */
  get earliest(): number | undefined {
    return this.entries[0]?.at;
  }

  push(at: number, item: T): void {
    const entry = { at, order: this.nextOrder++, item };
    this.entries.push(entry);
    this.siftUp(this.entries.length - 1);
  }

  /** Removes and returns the earliest item if it is due at `now`. */
  popDue(now: number): T | undefined {
    const first = this.entries[0];
    if (first === undefined || first.at > now) return undefined;
    const last = this.entries.pop();
    if (last !== undefined && this.entries.length > 0) {
      this.entries[0] = last;
      this.siftDown(0);
    }
    return first.item;
  }

  private siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let smallest = index;
      if (left < this.entries.length && this.isBefore(left, smallest)) smallest = left;
      if (right < this.entries.length && this.isBefore(right, smallest)) smallest = right;
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const left = this.entries[a];
    const right = this.entries[b];
    if (left === undefined || right === undefined) return false;
    return left.at < right.at || (left.at === right.at && left.order < right.order);
  }

  private swap(a: number, b: number): void {
    const left = this.entries[a];
    const right = this.entries[b];
    if (left === undefined || right === undefined) return;
    this.entries[a] = right;
    this.entries[b] = left;
  }
}
