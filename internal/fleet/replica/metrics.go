package replica

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"irispost/internal/fleet/lease"
)

var (
	descLeads = prometheus.NewDesc("irispost_keeper_leads", "1 where this keeper leads, as it believes.", nil, nil)
	descTerm  = prometheus.NewDesc("irispost_keeper_term", "Raft's term.", nil, nil)
	descLog   = prometheus.NewDesc("irispost_keeper_version", "Numbers of versions, as this keeper's log has them.", []string{"which"}, nil)
	descSeen  = prometheus.NewDesc("irispost_keeper_gateways", "Gateways that may hold a lease, by their state; told by the leading keeper.", []string{"state"}, nil)
	descWaits = prometheus.NewDesc("irispost_keeper_waits", "Gateways that an announced version waits for; told by the leading keeper.", nil, nil)
)

// collector tells how a keeper stands. Nothing is confirmed: it is what this keeper believes.
type collector struct{ keeper *Replica }

// Describe is empty: what there is hangs on whether it leads.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect asks the keeper's goroutine once.
func (c collector) Collect(to chan<- prometheus.Metric) {
	k := c.keeper
	done := make(chan []prometheus.Metric, 1)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	k.do(ctx, func() {
		var list []prometheus.Metric
		gauge := func(d *prometheus.Desc, v float64, labels ...string) {
			list = append(list, prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...))
		}
		gauge(descTerm, float64(k.node.BasicStatus().HardState.GetTerm()))
		gauge(descLog, float64(k.ledger.InForce), "in_force")
		gauge(descLog, float64(k.ledger.Announced), "announced")
		if k.warden == nil {
			gauge(descLeads, 0)
			done <- list
			return
		}
		gauge(descLeads, 1)
		states := map[string]int{}
		for _, s := range k.warden.Gateways(k.now()) {
			states[s.State]++
		}
		for _, s := range append(lease.StateNames(), "unheard") {
			gauge(descSeen, float64(states[s]), s)
		}
		waits := 0
		if k.ledger.InForce != k.ledger.Announced {
			waits = len(k.warden.WaitingFor(k.now()))
		}
		gauge(descWaits, float64(waits))
		done <- list
	})
	select {
	case list := <-done:
		for _, m := range list {
			to <- m
		}
	case <-ctx.Done():
	case <-k.ended:
	}
}

// metrics serves them.
func (k *Replica) metrics() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{k})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
