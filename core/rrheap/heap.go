// Package rrheap provides a priority queue whose items can be moved and removed.
package rrheap

// Heap is a binary heap that passes the index of each item to SetIndex, and can therefore
// move or remove any item in O(log n). Set Less and SetIndex before the first Push.
type Heap[T any] struct {
	Less     func(a, b T) bool       // reports whether a comes before b
	SetIndex func(item T, index int) // stores an item's index; -1 once it is removed

	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int {
	return len(h.items)
}

// At returns the item at an index. The first item in order is at index 0.
func (h *Heap[T]) At(index int) T {
	return h.items[index]
}

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// Fix restores the order after the item at an index has changed.
func (h *Heap[T]) Fix(index int) {
	if h.up(index) == index {
		h.down(index)
	}
}

// Remove removes the item at an index.
func (h *Heap[T]) Remove(index int) {
	var none T
	last := len(h.items) - 1
	h.SetIndex(h.items[index], -1)
	if index != last {
		h.items[index] = h.items[last]
		h.SetIndex(h.items[index], index)
	}
	h.items[last] = none
	h.items = h.items[:last]
	if index != last {
		h.Fix(index)
	}
}

// up moves the item at an index towards the front and returns its new index.
func (h *Heap[T]) up(index int) int {
	item := h.items[index]
	for index > 0 {
		parent := (index - 1) / 2
		if !h.Less(item, h.items[parent]) {
			break
		}
		h.items[index] = h.items[parent]
		h.SetIndex(h.items[index], index)
		index = parent
	}
	h.items[index] = item
	h.SetIndex(item, index)
	return index
}

// down moves the item at an index towards the back.
func (h *Heap[T]) down(index int) {
	item := h.items[index]
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.Less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.Less(h.items[child], item) {
			break
		}
		h.items[index] = h.items[child]
		h.SetIndex(h.items[index], index)
		index = child
	}
	h.items[index] = item
	h.SetIndex(item, index)
}
