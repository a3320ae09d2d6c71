package replica

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"irispost/internal/fleet/lease"
)

// Metrics of a replica. Operators' dashboards depend on their names, labels and help texts.
var (
	descLeading = prometheus.NewDesc("irispost_keeper_leads",
		"1 where this keeper leads, as it believes.", nil, nil)
	descTerm = prometheus.NewDesc("irispost_keeper_term",
		"Raft's term.", nil, nil)
	descVersion = prometheus.NewDesc("irispost_keeper_version",
		"Numbers of versions, as this keeper's log has them.", []string{"which"}, nil)
	descGateways = prometheus.NewDesc("irispost_keeper_gateways",
		"Gateways that may hold a lease, by their state; told by the leading keeper.", []string{"state"}, nil)
	descWaits = prometheus.NewDesc("irispost_keeper_waits",
		"Gateways that an announced version waits for; told by the leading keeper.", nil, nil)
)

// stateUnheard is the state of a gateway that the lease manager has not heard from in its term.
const stateUnheard = "unheard"

// collector collects the metrics. They are this replica's view, which no majority confirms.
type collector struct{ replica *Replica }

// Describe sends nothing, as the set of metrics depends on whether the replica leads.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect collects all metrics in one call on the owner goroutine.
func (c collector) Collect(to chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	collected := make(chan []prometheus.Metric, 1)
	c.replica.enqueue(ctx, func() { collected <- c.replica.collectMetrics() })
	select {
	case metrics := <-collected:
		for _, metric := range metrics {
			to <- metric
		}
	case <-ctx.Done():
	case <-c.replica.stopped:
	}
}

func (r *Replica) collectMetrics() []prometheus.Metric {
	var metrics []prometheus.Metric
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		metrics = append(metrics, prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...))
	}
	gauge(descTerm, float64(r.currentTerm()))
	gauge(descVersion, float64(r.machine.InForce), "in_force")
	gauge(descVersion, float64(r.machine.Announced), "announced")
	manager := r.leadership.manager
	if manager == nil {
		gauge(descLeading, 0)
		return metrics
	}
	gauge(descLeading, 1)
	gatewaysByState := map[string]int{}
	for _, gateway := range manager.Gateways(r.now()) {
		gatewaysByState[gateway.State]++
	}
	for _, state := range append(lease.StateNames(), stateUnheard) {
		gauge(descGateways, float64(gatewaysByState[state]), state)
	}
	waiting := 0
	if r.machine.InForce != r.machine.Announced {
		waiting = len(manager.WaitingFor(r.now()))
	}
	gauge(descWaits, float64(waiting))
	return metrics
}

// metricsHandler serves the metrics.
func (r *Replica) metricsHandler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{r})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
