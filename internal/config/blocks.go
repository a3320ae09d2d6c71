package config

import (
	"path"
	"strconv"
	"strings"
	"time"

	"irispost/internal/front"
	"irispost/internal/gateway"
	"irispost/scheduler"
)

// rules reads the figures of the rules.
func (r *reader) rules(f *fileForm, t scheduler.Settings) {
	if c := f.Cold; c != nil {
		t["cold.from"] = plain(r.number(c.From, 0.001, 1, 1))
		t["cold.time"] = milliseconds(r.span(c.Time, 0, time.Hour, 0))
		t["cold.multiple"] = plain(r.number(c.Multiple, 0.1, 100, 2))
		t["cold.window"] = milliseconds(r.span(c.Window, time.Millisecond, time.Hour, second))
		t["cold.units"] = plain(r.number(c.Units, 0, huge, 0))
	}
	if b := f.Further; b != nil {
		t["further.window"] = milliseconds(r.span(b.Window, time.Millisecond, time.Hour, second))
		t["further.free"] = plain(r.number(b.Free, 0, huge, 0))
		t["further.share"] = plain(r.number(b.Share, 0, 100, 0))
	}
	if f.Executions == nil {
		f.Executions = &executionsForm{}
	}
	flag := func(b *bool) string { return strconv.FormatBool(b == nil || *b) }
	t["executions.most"] = strconv.Itoa(r.count(f.Executions.Most, 1, 100, 3))
	t["second_copies"], t["calling_off"] = flag(f.Executions.SecondCopies), flag(f.Executions.CallingOff)
	if f.Dismissals == nil {
		f.Dismissals = &dismissalsForm{}
	}
	t["retry_after"] = flag(f.Dismissals.Advice)
	t["retry_after.most"] = milliseconds(r.span(f.Dismissals.Most, 0, time.Hour, second))
	if f.Order == nil {
		f.Order = &orderForm{}
	}
	t["key.rest"] = milliseconds(r.span(f.Order.Rest, 0, time.Minute, 50*time.Millisecond))
}

func (r *reader) plans(f *fileForm, g *Config) {
	names := map[string]bool{}
	for i, p := range f.Plans {
		if names[p.Name] {
			r.refuse(p.Range, "Plan twice", "There is a plan %q already.", p.Name)
		}
		names[p.Name] = true
		item := func(name, value string) { g.Settings["plans."+strconv.Itoa(i)+"."+name] = value }
		item("name", p.Name)
		item("weight", plain(r.number(p.Weight, 1e-3, 1e6, 1)))
		item("rate", plain(r.number(p.Rate, 0, huge, 0)))
		item("reserve", plain(r.number(p.Reserve, 0, huge, 0)))
		limit := r.number(p.Limit, 0, huge, 0)
		item("limit", plain(limit))
		item("burst", plain(r.number(p.Burst, 0, huge, limit)))
		item("slack", plain(r.number(p.Slack, 0, huge, 0)))
	}
	g.Settings["plans.count"] = strconv.Itoa(len(f.Plans))
	if len(f.Plans) == 0 {
		r.refuse(f.Gateway.Range, "No plan", "At least one plan block is needed.")
	}
}

func (r *reader) products(f *fileForm, g *Config) {
	kinds := map[string]uint8{"replayable": 0, "referenced": 1, "single-use": 2}
	for i, p := range f.Products {
		if g.RequestClasses[p.Name] != nil {
			r.refuse(p.Range, "Product twice", "There is a product %q already.", p.Name)
		}
		kind := r.text(p.Kind, "replayable")
		if _, known := kinds[kind]; !known {
			r.refuse(p.Kind.Range(), "No such kind", "A product is \"replayable\", \"referenced\" or \"single-use\", not %q.", kind)
		}
		group := r.text(p.Group, "all")
		if group != "all" && group != "zone" && group != "shard" {
			r.refuse(p.Group.Range(), "No such group", "The nodes that know a repeat are \"all\", those of a \"zone\" or of a \"shard\", not %q.", group)
		}
		out := &RequestClass{LatencyObjective: r.span(p.Goal, time.Millisecond, time.Hour, second)}
		out.Name, out.Kind, out.InTurn = p.Name, kinds[kind], p.InTurn
		out.Patience = r.span(p.Patience, time.Millisecond, time.Hour, second)
		if out.Patience < out.LatencyObjective {
			r.refuse(p.Patience.Range(), "Patience under the goal", "A client that waits %v cannot have its answer after %v.", out.Patience, out.LatencyObjective)
		}
		out.DedupWindow = r.span(p.Window, 0, time.Hour, 0)
		if kind == "referenced" && out.DedupWindow == 0 {
			r.refuse(p.Range, "No window", "A referenced product needs a window: how long the nodes know a repeat.")
		}
		g.RequestClasses[p.Name] = out
		item := func(name, value string) { g.Settings["products."+strconv.Itoa(i)+"."+name] = value }
		item("name", p.Name)
		item("kind", kind)
		item("group", group)
		item("goal", milliseconds(out.LatencyObjective))
		item("patience", milliseconds(out.Patience))
		item("window", milliseconds(out.DedupWindow))
		item("in_turn", strconv.FormatBool(p.InTurn))
	}
	g.Settings["products.count"] = strconv.Itoa(len(f.Products))
}

func (r *reader) volumes(f *fileForm, g *Config) {
	plans := map[string]int{}
	for i, p := range f.Plans {
		plans[p.Name] = i
	}
	ids := map[int64]string{}
	for _, v := range f.Volumes {
		if g.Volumes[v.Name] != nil {
			r.refuse(v.Range, "Volume twice", "There is a volume %q already.", v.Name)
		}
		if v.Name == "" || strings.ContainsAny(v.Name, "/\x00") || v.Name == "." || v.Name == ".." || len(v.Name) > 255 {
			r.refuse(v.Range, "Bad name", "A volume's name is a folder's name: not empty, without slash, at most 255 bytes.")
		}
		out := &front.Volume{Name: v.Name, Volume: gateway.Volume{ID: int64(r.count(v.ID, 0, 1<<31, 0)),
			ServiceLevel: r.text(v.Plan, ""), Gateways: r.number(v.Hosts, 1, 1e6, 1)}}
		if other, twice := ids[out.ID]; twice {
			r.refuse(v.ID.Range(), "Id twice", "Volume %q has the id %d already.", other, out.ID)
		}
		ids[out.ID] = v.Name
		i, known := plans[out.ServiceLevel]
		if !known {
			r.refuse(v.Plan.Range(), "No such plan", "There is no plan %q.", out.ServiceLevel)
		} else if n, _ := strconv.ParseFloat(g.Settings["plans."+strconv.Itoa(i)+".limit"], 64); n > 0 {
			c := Limit{Rate: n}
			c.Burst, _ = strconv.ParseFloat(g.Settings["plans."+strconv.Itoa(i)+".burst"], 64)
			c.Slack, _ = strconv.ParseFloat(g.Settings["plans."+strconv.Itoa(i)+".slack"], 64)
			g.VolumeLimits[out.ID] = c
		}
		fits := map[front.Sort]bool{}
		for _, rule := range v.Rules {
			r.rule(g, out, rule, fits)
		}
		for _, s := range []front.Sort{front.Read, front.Write, front.Look, front.Change} {
			if !fits[s] {
				r.refuse(v.Range, "Operations without a product", "Volume %q has no product block for %q without match and larger.", v.Name, s)
			}
		}
		g.Volumes[v.Name] = out
	}
	if len(f.Volumes) == 0 {
		r.refuse(f.Gateway.Range, "No volume", "At least one volume block is needed.")
	}
}

// rule reads which operations are of a product. What a repeat may do is the operation's, so the kind has to fit.
func (r *reader) rule(g *Config, v *front.Volume, b ruleForm, fits map[front.Sort]bool) {
	p := g.RequestClasses[b.Product]
	if p == nil {
		r.refuse(b.Range, "No such product", "There is no product %q.", b.Product)
		return
	}
	out := front.Rule{Match: b.Match, Larger: uint64(r.size(b.Larger, 0, 1<<40, 0)), Product: &p.Product}
	if _, err := path.Match(b.Match, "x"); err != nil {
		r.refuse(b.Range, "Bad pattern", "%q: %v.", b.Match, err)
	}
	for _, s := range b.For {
		sort := front.Sort(s)
		switch sort {
		case front.Read, front.Look:
			if p.Kind != 0 {
				r.refuse(b.Range, "Kind does not fit", "%q operations change nothing, so product %q has to be replayable.", s, p.Name)
			}
		case front.Write:
			if p.Kind != 0 || !p.InTurn {
				r.refuse(b.Range, "Kind does not fit",
					"%q operations put bytes at their place: product %q has to be replayable and in_turn, so that an old write never comes after a new one.", s, p.Name)
			}
		case front.Change:
			if group := r.group(g, p.Name); p.Kind != 1 || group != "shard" {
				r.refuse(b.Range, "Kind does not fit",
					"%q operations change a record at its home shard: product %q has to be referenced with group \"shard\".", s, p.Name)
			}
		default:
			r.refuse(b.Range, "No such operation", "Operations are \"read\", \"write\", \"look\" and \"change\", not %q.", s)
		}
		if out.Match == "" && out.Larger == 0 {
			fits[sort] = true
		}
		out.Sorts = append(out.Sorts, sort)
	}
	v.Rules = append(v.Rules, out)
}

func (r *reader) group(g *Config, product string) string {
	for i := range len(g.RequestClasses) {
		if n := "products." + strconv.Itoa(i); g.Settings[n+".name"] == product {
			return g.Settings[n+".group"]
		}
	}
	return ""
}
