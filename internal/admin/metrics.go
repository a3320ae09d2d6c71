package admin

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// collector exports a gateway's status as Prometheus metrics. It keeps no counts; each scrape queries the gateway.
type collector struct{ gateway Gateway }

// desc returns the description of the metric irispost_NAME.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("irispost_"+name, help, labels, nil)
}

var (
	descResults = desc("jobs_total", "Jobs since the gateway's start, by product and by what became of them.",
		"product", "outcome")
	descRequests    = desc("jobs_held", "Jobs without their final answer.")
	descAttempts    = desc("executions_out", "Executions that are out at nodes.")
	descLateAnswers = desc("late_answers_total", "Answers of nodes that came after their execution was given up.")
	descNodes       = desc("nodes", "Nodes, by their state.", "state")
	descDropped     = desc("capture_dropped_records", "Records that the present or last capture dropped.")
	descVersion     = desc("rules_acting",
		"1 for the state in which the gateway stands with the keepers, and what it acts on.", "rules")
	descUp = desc("up", "1 where the gateway's loop answers.")
)

// Describe sends nothing, because the set of metrics depends on the gateway's status (an unchecked collector).
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect queries the gateway once. If the gateway does not answer, the metric up is the only one.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	status, err := c.gateway.Status()
	if err != nil {
		gauge(descUp, 0)
		return
	}
	gauge(descUp, 1)
	gauge(descRequests, float64(status.Requests))
	gauge(descAttempts, float64(status.AttemptsInFlight))
	metrics <- prometheus.MustNewConstMetric(descLateAnswers, prometheus.CounterValue, float64(status.LateAnswers))
	for class, counts := range status.RequestClasses {
		for outcome, n := range counts.byOutcome() {
			metrics <- prometheus.MustNewConstMetric(descResults, prometheus.CounterValue, float64(n), class, outcome)
		}
	}
	for state, n := range status.Nodes {
		gauge(descNodes, float64(n), state)
	}
	gauge(descDropped, float64(status.Capture.Dropped))
	if status.Version != "" {
		gauge(descVersion, 1, status.Version)
	}
}

// byOutcome returns the counts by the value of the label outcome.
func (c RequestCounts) byOutcome() map[string]int64 {
	return map[string]int64{
		"taken":       c.Accepted,
		"completed":   c.Succeeded,
		"dismissed":   c.Rejected,
		"written_off": c.Failed,
		"left":        c.Cancelled,
	}
}

// metricsHandler returns a handler that serves a gateway's metrics.
func metricsHandler(gateway Gateway) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{gateway})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
