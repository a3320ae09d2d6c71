package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Summary counts a day's requests by what became of them, as their clients saw it.
type Summary struct {
	Jobs       int       `json:"jobs"`
	Completed  int       `json:"completed"`
	Dismissed  int       `json:"dismissed"`
	WrittenOff int       `json:"written_off"`
	Left       int       `json:"left"`
	Lost       int       `json:"lost"`
	Twice      int       `json:"answered_twice"`
	Products   []Product `json:"products"`
}

// Product is a summary of one product.
type Product struct {
	Name   string  `json:"name"`
	Jobs   int     `json:"jobs"`
	InGoal int     `json:"in_goal"`
	P50    float64 `json:"p50_ms"` // of the completed
	P99    float64 `json:"p99_ms"`
}

// Summarise counts. A request that is out when its client goes, or its gateway is killed, is left; one that has no
// answer otherwise is lost.
func Summarise(events []Event) Summary {
	var s Summary
	asked, told, gone := map[requestKey]Event{}, map[requestKey]int{}, map[string]bool{}
	products := map[string]*Product{}
	times := map[string]*hdrhistogram.Histogram{}
	for _, e := range events {
		k := requestKey{e.Session, e.ID}
		switch e.What {
		case Asked:
			asked[k] = e
			if products[e.Product] == nil {
				products[e.Product] = &Product{Name: e.Product}
				times[e.Product] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
			}
			products[e.Product].Jobs++
			s.Jobs++
		case ClientGo:
			gone[e.Session] = true
		case Told:
			if told[k]++; told[k] > 1 {
				s.Twice++
				continue
			}
			a, known := asked[k]
			if !known {
				continue
			}
			switch e.Answer {
			case Completed:
				s.Completed++
				// An answer that took more than an hour is out of the histogram; a day lasts an hour at most.
				_ = times[a.Product].RecordValue(max(1, (e.At-a.At)/1000))
				if e.At <= a.Goal {
					products[a.Product].InGoal++
				}
			case Dismissed:
				s.Dismissed++
			case WrittenOff:
				s.WrittenOff++
			}
		}
	}
	for k := range asked {
		switch {
		case told[k] > 0:
		case gone[k.session]:
			s.Left++
		default:
			s.Lost++
		}
	}
	for name, p := range products {
		p.P50 = float64(times[name].ValueAtQuantile(50)) / 1000
		p.P99 = float64(times[name].ValueAtQuantile(99)) / 1000
		s.Products = append(s.Products, *p)
	}
	slices.SortFunc(s.Products, func(a, b Product) int { return cmp.Compare(a.Name, b.Name) })
	return s
}
