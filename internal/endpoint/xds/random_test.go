package xds_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"irispost/internal/endpoint/xds"
)

// randomResponse returns a random response and whether it is valid.
func randomResponse(t *testing.T, rng *rand.Rand, incremental bool, version, nonce string) (r xds.Response, valid bool) {
	t.Helper()
	names := []string{"a", "b", "c"}[:rng.IntN(4)]
	name := string(rune('a' + rng.IntN(3)))
	port := fmt.Sprint(int(name[0]-'a'+1)*1000 + rng.IntN(3))
	switch rng.IntN(6) {
	case 0, 1:
		r = clusters(t, incremental, version, nonce, names...)
		if incremental {
			r.Removed = []string{name}
			r.Changed = slices.DeleteFunc(r.Changed, func(c *discoveryv3.Resource) bool { return c.Name == name })
		}
		return r, true
	case 2:
		return endpoints(t, incremental, version, nonce, name, "0"), false
	case 3:
		r = clusters(t, incremental, version, nonce, "a")
		addResource(&r, incremental, "b", &anypb.Any{TypeUrl: xds.ClusterType, Value: []byte{0xff, 0xff}})
		return r, false
	}
	return endpoints(t, incremental, version, nonce, name, port), true
}

// countAnswers returns how many requests acknowledge or reject a response without changing the subscription.
func countAnswers(out xds.Outcome, r xds.Response) (answers int) {
	for _, q := range out.Requests {
		if q.Type == r.Type && q.Nonce == r.Nonce && len(q.Subscribe)+len(q.Unsubscribe) == 0 {
			answers++
		}
	}
	return answers
}

// checkOutcome checks that a response is ignored, or acknowledged if valid and rejected if not; that a rejected
// response gives no list; and that no list has an address twice.
func checkOutcome(out xds.Outcome, r xds.Response, valid bool) error {
	rejected := out.Rejected != nil
	for _, q := range out.Requests {
		if (q.RejectReason != "") != rejected && q.Type == r.Type && q.Nonce == r.Nonce {
			return fmt.Errorf("rejected: %t, but the answer is %+v", rejected, q)
		}
	}
	ignored := len(out.Requests) == 0
	if !ignored && countAnswers(out, r) == 0 {
		return fmt.Errorf("no request answers the response: %+v", out.Requests)
	}
	if valid && rejected || !valid && !ignored && !rejected {
		return fmt.Errorf("valid: %t, rejected: %t, requests %+v", valid, rejected, out.Requests)
	}
	if out.List == nil {
		return nil
	}
	if rejected {
		return fmt.Errorf("a rejected response gives the list %+v", out.List)
	}
	seen := map[string]bool{}
	for _, n := range out.List.Nodes {
		if seen[n.Addr] {
			return fmt.Errorf("address %s appears twice in the list", n.Addr)
		}
		seen[n.Addr] = true
	}
	return nil
}

// In random sequences of valid and invalid responses, new streams and timeouts, each response is ignored or answered
// with its nonce, and a rejected response gives no list.
func TestRandomResponses(t *testing.T) {
	const seeds, steps = 300, 100
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		incremental := seed%2 == 0
		s := xds.NewSession(incremental, nil, fetchTimeout)
		now := sec
		s.OpenStream(now)
		for step := range steps {
			now += rng.Int64N(2 * sec)
			switch rng.IntN(8) {
			case 0:
				s.OpenStream(now)
			case 1:
				s.Tick(now)
			default:
				r, valid := randomResponse(t, rng, incremental, fmt.Sprint(step), fmt.Sprint("n", step))
				if err := checkOutcome(s.HandleResponse(now, r), r, valid); err != nil {
					t.Fatalf("seed %d, step %d: %v", seed, step, err)
				}
			}
		}
	}
}
