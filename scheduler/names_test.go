package scheduler

import (
	"fmt"
	"testing"
)

func TestEnumerationsNameTheirValues(t *testing.T) {
	for _, c := range []struct {
		value fmt.Stringer
		want  string
	}{
		{Idempotent, "idempotent"},
		{IdempotencyKeyed, "idempotency-keyed"},
		{NonIdempotent, "non-idempotent"},
		{Idempotency(9), "Idempotency(9)"},
		{DedupAllNodes, "all nodes"},
		{DedupSameZone, "same zone"},
		{DedupSameShard, "same shard"},
		{DedupScope(9), "DedupScope(9)"},
		{EndpointReady, "ready"},
		{EndpointDraining, "draining"},
		{EndpointRemoved, "removed"},
		{EndpointState(9), "EndpointState(9)"},
		{OutcomePending, "pending"},
		{OutcomeMisdirected, "misdirected"},
		{Outcome(9), "Outcome(9)"},
	} {
		if got := c.value.String(); got != c.want {
			t.Errorf("%T: got %q, want %q", c.value, got, c.want)
		}
	}
}
