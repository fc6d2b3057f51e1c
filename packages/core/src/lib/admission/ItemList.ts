/** Items in the order in which they were added. All operations take constant time on average. */
export class ItemList<Item> {
	/** Contains removed items until they reach either end. */
	private items: Item[] = []
	private head = 0
	private readonly present = new Set<Item>()

	get size(): number {
		return this.present.size
	}

	add(item: Item): void {
		this.items.push(item)
		this.present.add(item)
	}

	/** Returns false if the item is not in the list. */
	remove(item: Item): boolean {
		if (!this.present.delete(item)) return false
		if (this.present.size === 0) {
			this.items = []
			this.head = 0
		}
		return true
	}

	first(): Item | undefined {
		while (this.head < this.items.length) {
			const item = this.items[this.head]
			if (item !== undefined && this.present.has(item)) {
				this.compact()
				return item
			}
			this.head++
		}
		return undefined
	}

	last(): Item | undefined {
		while (this.items.length > this.head) {
			const item = this.items.at(-1)
			if (item !== undefined && this.present.has(item)) return item
			this.items.pop()
		}
		return undefined
	}

	private compact(): void {
		if (this.head * 2 < this.items.length) return
		this.items = this.items.slice(this.head)
		this.head = 0
	}
}
