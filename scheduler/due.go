package scheduler

import "container/heap"

// dueJobs orders jobs by due time, ties by the order of their ids.
type dueJobs []*Request

func (d dueJobs) Len() int { return len(d) }
func (d dueJobs) Less(a, b int) bool {
	return d[a].due < d[b].due || d[a].due == d[b].due && d[a].ID < d[b].ID
}
func (d dueJobs) Swap(a, b int) {
	d[a], d[b] = d[b], d[a]
	d[a].place, d[b].place = a+1, b+1
}
func (d *dueJobs) Push(x any) {
	j := x.(*Request)
	*d = append(*d, j)
	j.place = len(*d)
}
func (d *dueJobs) Pop() any {
	last := len(*d) - 1
	j := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	j.place = 0
	return j
}

// set gives the job a due time, or takes it out when at is 0.
func (d *dueJobs) set(j *Request, at Time) {
	j.due = at
	switch {
	case at == 0 && j.place > 0:
		heap.Remove(d, j.place-1)
	case at == 0:
	case j.place > 0:
		heap.Fix(d, j.place-1)
	default:
		heap.Push(d, j)
	}
}

// take returns a job that is due, or nil.
func (d *dueJobs) take(now Time) *Request {
	if len(*d) == 0 || (*d)[0].due > now {
		return nil
	}
	return heap.Pop(d).(*Request)
}

// first returns the earliest due time, or 0.
func (d dueJobs) first() Time {
	if len(d) == 0 {
		return 0
	}
	return d[0].due
}
