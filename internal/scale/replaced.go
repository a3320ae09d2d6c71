package scale

import (
	"irispost/internal/scale/meter"
)

// replaced has a shard's node lost and replaced, again and again. What counts is the last gateway that sends to the successor, by what its
// module was told, and that none sends to the old node after it has turned.
func replaced(f *Fleet, r *Result) error {
	var last, each []float64
	var shards []int
	for i := range f.Size.Replacements {
		shard := i * (f.Size.Nodes / f.Size.Replacements)
		shards = append(shards, shard)
		old, successor, change := replace(&f.Size, shard, 1)
		c, err := f.propose("a shard's node is lost", change)
		if err != nil {
			return err
		}
		if h := f.flawed(); i == 1 {
			h.lost.Store(c.Version)
		}
		if list := f.await(c.Version, nobody); len(list) > 0 {
			r.Violations = append(r.Violations, list...)
			break
		}
		latest := 0.0
		for _, h := range f.Gateways {
			turns, _ := h.seen()
			at, broken := turned(turns, shard, old, successor)
			if broken != "" {
				r.broke("%s, shard %d: %s", h.Name, shard, broken)
				continue
			}
			ms := float64(at-c.At) / 1e6
			each, latest = append(each, ms), max(latest, ms)
		}
		last = append(last, latest)
	}
	r.Distributions["last_turned_ms"], r.Distributions["each_turned_ms"] = meter.QuantilesOf(last), meter.QuantilesOf(each)
	r.bound("the last gateway that turned to a successor", r.Distributions["last_turned_ms"].Worst, float64(replacedBound.Milliseconds()))
	r.ends(f, shards...)
	for i, shard := range shards { // once more over all: nobody may have turned back since
		old, successor, _ := replace(&f.Size, shard, 1)
		if i >= len(last) {
			break
		}
		for _, h := range f.Gateways {
			turns, _ := h.seen()
			if _, broken := turned(turns, shard, old, successor); broken != "" {
				r.broke("%s, shard %d, looked at again at the end: %s", h.Name, shard, broken)
			}
		}
	}
	return nil
}
