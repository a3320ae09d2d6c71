package web

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// known is what the settings name; a request that asks for something else cannot be carried out.
type known struct {
	plans, products map[string]bool
	largest         float64 // units of one request; 0: not stated
}

func knownBy(t scheduler.Settings) known {
	names := func(list string) map[string]bool {
		m := map[string]bool{}
		n, _ := strconv.Atoi(t[list+".count"])
		for i := range n {
			m[t[list+"."+strconv.Itoa(i)+".name"]] = true
		}
		return m
	}
	k := known{plans: names("plans"), products: names("products")}
	k.largest, _ = strconv.ParseFloat(t["units.largest"], 64)
	return k
}

// longest is the longest deadline that can be read.
const longest = 24 * time.Hour

// work reads what a request asks for. Its StopBy is the time left.
func (k known) work(q *http1.Request) (*gateway.RequestSpec, error) {
	bad := func(why string) error { return &http1.Error{Status: 400, Reason: why} }
	op := node.GetObject
	switch q.Method {
	case "GET":
		if q.Framing.Bytes > 0 || q.Framing.Chunked {
			return nil, bad("a read with a body")
		}
	case "PUT":
		op = node.PutObject
	default:
		return nil, &http1.Error{Status: 405, Reason: "GET and PUT alone"}
	}
	id, _ := q.Fields.Get("x-request-id")
	if !isID(id) {
		return nil, bad("not one X-Request-Id")
	}
	product, _ := q.Fields.Get("x-class")
	if !k.products[product] {
		return nil, bad("no such X-Class")
	}
	plan, _ := q.Fields.Get("x-plan")
	if !k.plans[plan] {
		return nil, bad("no such X-Plan")
	}
	text, _ := q.Fields.Get("x-deadline-ms")
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > longest || text[0] == '+' {
		return nil, bad("no X-Deadline-Ms")
	}
	_, query, _ := strings.Cut(q.Target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || len(values["extent"]) != 1 {
		return nil, bad("not one extent")
	}
	extent, ok := hex(values["extent"][0])
	if !ok {
		return nil, bad("an extent that is not 16 hex digits")
	}
	w := &gateway.RequestSpec{Volume: &gateway.Volume{ServiceLevel: plan, Gateways: 1}, Class: product, Key: int64(extent), HasKey: true,
		Deadline: scheduler.Time(ms) * scheduler.Millisecond, Call: node.Call{Op: op, Name: q.Target, IdempotencyKey: id, Shard: -1}}
	w.Call.Headers = passedOn(q.Fields)
	told, _ := q.Fields.Get("x-io")
	if !k.told(w, told) {
		return nil, bad("an X-IO that can't be read")
	}
	return w, nil
}

// hop are the fields that are between a client and the gateway alone (RFC 9110, 7.6.1), or that the gateway states itself.
var hop = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"host": true, "content-length": true, "expect": true, "x-request-id": true, "x-deadline-ms": true}

// passedOn are the fields that go on to a node as they came, above all a key by which it knows a repeat (Idempotency-Key).
func passedOn(fields http1.Fields) (head []string) {
	for _, f := range fields {
		if !hop[f.Name] && !fields.HasToken("connection", f.Name) {
			head = append(head, f.Name, f.Value)
		}
	}
	return head
}

// told reads volume, units, shard and hosts.
func (k known) told(w *gateway.RequestSpec, text string) bool {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || seen[name] {
			return false
		}
		seen[name] = true
		switch name {
		case "volume":
			v, ok := hex(value)
			if !ok {
				return false
			}
			w.Volume.ID = int64(v)
		case "units":
			u, err := strconv.ParseFloat(value, 64)
			if err != nil || !(u > 0) || math.IsInf(u, 0) || k.largest > 0 && u > k.largest {
				return false
			}
			w.Units = u
		case "shard":
			n, err := strconv.ParseInt(value, 10, 31)
			if err != nil || n < -1 {
				return false
			}
			w.Call.Shard = int(n)
		case "hosts":
			n, err := strconv.ParseUint(value, 10, 16)
			if err != nil || n == 0 {
				return false
			}
			w.Volume.Gateways = float64(n)
		}
	}
	return seen["volume"] && seen["units"] && seen["shard"] && seen["hosts"]
}

func hex(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	v, err := strconv.ParseUint(s, 16, 64)
	return v, err == nil
}

// isID tells whether a name can be passed on as it is.
func isID(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(s) > 0 && len(s) <= 64
}
