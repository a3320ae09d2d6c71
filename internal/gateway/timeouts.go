package gateway

// timeoutHeap is a min-heap of the attempts in flight by timeout, then by request ID and attempt number. It implements
// heap.Interface and maintains the heapIndex of each attempt.
type timeoutHeap []*attempt

// Len implements heap.Interface.
func (h timeoutHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timeoutHeap) Less(i, j int) bool {
	if h[i].timeoutAt != h[j].timeoutAt {
		return h[i].timeoutAt < h[j].timeoutAt
	}
	a, b := h[i].scheduled, h[j].scheduled
	return a.Request.ID < b.Request.ID || a.Request.ID == b.Request.ID && a.Number < b.Number
}

// Swap implements heap.Interface.
func (h timeoutHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i + 1
	h[j].heapIndex = j + 1
}

// Push implements heap.Interface.
func (h *timeoutHeap) Push(x any) {
	a := x.(*attempt)
	*h = append(*h, a)
	a.heapIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *timeoutHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.heapIndex = 0
	return a
}
