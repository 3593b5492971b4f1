// Package rrheap holds the priority queue that the decisions share.
package rrheap

// Heap is a binary heap whose items know their place, so that any of them can be
// moved or removed in O(log n). Less and SetIndex must be set before the first Push.
type Heap[T any] struct {
	Less     func(a, b T) bool       // reports whether a comes before b
	SetIndex func(item T, place int) // tells an item where it is; -1 once it is removed

	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int {
	return len(h.items)
}

// At returns the item at a place. Place 0 holds the first item in order.
func (h *Heap[T]) At(place int) T {
	return h.items[place]
}

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// Fix restores the order after the item at a place has changed.
func (h *Heap[T]) Fix(place int) {
	if h.up(place) == place {
		h.down(place)
	}
}

// Remove takes the item at a place out.
func (h *Heap[T]) Remove(place int) {
	var none T
	last := len(h.items) - 1
	h.SetIndex(h.items[place], -1)
	if place != last {
		h.items[place] = h.items[last]
		h.SetIndex(h.items[place], place)
	}
	h.items[last] = none
	h.items = h.items[:last]
	if place != last {
		h.Fix(place)
	}
}

// up moves the item at place towards the front and returns its new place.
func (h *Heap[T]) up(place int) int {
	item := h.items[place]
	for place > 0 {
		parent := (place - 1) / 2
		if !h.Less(item, h.items[parent]) {
			break
		}
		h.items[place] = h.items[parent]
		h.SetIndex(h.items[place], place)
		place = parent
	}
	h.items[place] = item
	h.SetIndex(item, place)
	return place
}

// down moves the item at place towards the back.
func (h *Heap[T]) down(place int) {
	item := h.items[place]
	for {
		child := 2*place + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.Less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.Less(h.items[child], item) {
			break
		}
		h.items[place] = h.items[child]
		h.SetIndex(h.items[place], place)
		place = child
	}
	h.items[place] = item
	h.SetIndex(item, place)
}
