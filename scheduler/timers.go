package scheduler

import "container/heap"

// timerHeap is a heap of the requests that have a timer, ordered by the time at which it fires. Ties are broken by
// request ID so that the order is deterministic. It implements heap.Interface.
type timerHeap []*Request

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(a, b int) bool {
	if h[a].timerAt != h[b].timerAt {
		return h[a].timerAt < h[b].timerAt
	}
	return h[a].ID < h[b].ID
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].timerIndex = a + 1
	h[b].timerIndex = b + 1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	request := x.(*Request)
	*h = append(*h, request)
	request.timerIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	request.timerIndex = 0
	return request
}

// set makes the request's timer fire at the given time, or stops it if the time is 0.
func (h *timerHeap) set(request *Request, at Time) {
	request.timerAt = at
	running := request.timerIndex > 0
	switch {
	case at == 0 && running:
		heap.Remove(h, request.timerIndex-1)
	case at == 0:
	case running:
		heap.Fix(h, request.timerIndex-1)
	default:
		heap.Push(h, request)
	}
}

// popDue removes the first timer if it is due and returns its request, or nil.
func (h *timerHeap) popDue(now Time) *Request {
	if len(*h) == 0 || (*h)[0].timerAt > now {
		return nil
	}
	return heap.Pop(h).(*Request)
}

// earliest returns the time at which the first timer fires, or 0 if there is none.
func (h timerHeap) earliest() Time {
	if len(h) == 0 {
		return 0
	}
	return h[0].timerAt
}
