package replica

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"irispost/internal/fleet/lease"
)

// A watch request waits while nothing changes and is answered at once when a version is announced. A replica that does
// not lead rejects it.
func TestWatchIsAnsweredOnChange(t *testing.T) {
	c := newTestCluster(t)
	c.start(1, 2, 3)
	client := c.client()
	propose(t, client, 1, rateLimitConfig(1))
	var status Status
	for status.InForce != 1 {
		var err error
		if status, err = client.Status(); err != nil {
			t.Fatal(err)
		}
	}
	watch := func(replica uint64, hold time.Duration, term, version uint64) (changed bool, err error) {
		path := fmt.Sprintf("/news?term=%d&in_force=%d&announced=%d&hold_ms=%d",
			term, version, version, hold.Milliseconds())
		err = client.Call(t.Context(), c.peers[replica], http.MethodGet, path, nil, &changed)
		return changed, err
	}
	if changed, err := watch(status.Leader, time.Millisecond, status.Term, 1); changed || err != nil {
		t.Errorf("without a change: got %t, error %v; want false", changed, err)
	}
	if changed, err := watch(status.Leader, time.Hour, status.Term, 0); !changed || err != nil {
		t.Errorf("with an older version known: got %t, error %v; want true", changed, err)
	}
	_, err := watch(status.Leader%3+1, time.Hour, status.Term, 1)
	if err == nil || !strings.Contains(err.Error(), "does not lead") {
		t.Errorf("at a replica that does not lead: got error %v, want one that it does not lead", err)
	}
	metrics := readMetrics(t, c.peers[status.Leader])
	for _, line := range []string{"irispost_keeper_leads 1", `irispost_keeper_version{which="in_force"} 1`} {
		if !strings.Contains(metrics, line) {
			t.Errorf("the metrics have no line %s:\n%s", line, metrics)
		}
	}
	answered := make(chan error, 1)
	go func() {
		changed, err := watch(status.Leader, maxWatchTime, status.Term, 1)
		if err == nil && !changed {
			err = errors.New("the watch request was answered without a change")
		}
		answered <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if _, err := client.Propose(&lease.Proposal{ID: "b", Parent: 1, Content: rateLimitConfig(2)}); err != nil {
		t.Fatal(err)
	}
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

func readMetrics(t *testing.T, address string) string {
	t.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(response)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
