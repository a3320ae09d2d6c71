package admin

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// collector tells a gateway's status in Prometheus' form. It keeps no counts of its own: each scrape asks the gateway.
type collector struct{ gateway Gateway }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("irispost_"+name, help, labels, nil)
}

var (
	descJobs    = desc("jobs_total", "Jobs since the gateway's start, by product and by what became of them.", "product", "outcome")
	descHeld    = desc("jobs_held", "Jobs without their final answer.")
	descOut     = desc("executions_out", "Executions that are out at nodes.")
	descLate    = desc("late_answers_total", "Answers of nodes that came after their execution was given up.")
	descNodes   = desc("nodes", "Nodes, by their state.", "state")
	descDropped = desc("capture_dropped_records", "Records that the present or last capture dropped.")
	descActs    = desc("rules_acting", "1 for the state in which the gateway stands with the keepers, and what it acts on.", "rules")
	descUp      = desc("up", "1 where the gateway's loop answers.")
)

// Describe is empty: what there is hangs on the gateway.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect asks the gateway once.
func (c collector) Collect(to chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		to <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	s, err := c.gateway.Status()
	if err != nil {
		gauge(descUp, 0)
		return
	}
	gauge(descUp, 1)
	gauge(descHeld, float64(s.Requests))
	gauge(descOut, float64(s.AttemptsInFlight))
	to <- prometheus.MustNewConstMetric(descLate, prometheus.CounterValue, float64(s.LateAnswers))
	for name, p := range s.RequestClasses {
		for outcome, n := range map[string]int64{"taken": p.Accepted, "completed": p.Succeeded, "dismissed": p.Rejected, "written_off": p.Failed, "left": p.Cancelled} {
			to <- prometheus.MustNewConstMetric(descJobs, prometheus.CounterValue, float64(n), name, outcome)
		}
	}
	for state, n := range s.Nodes {
		gauge(descNodes, float64(n), state)
	}
	gauge(descDropped, float64(s.Capture.Dropped))
	if s.Version != "" {
		gauge(descActs, 1, s.Version)
	}
}

// metrics serves them.
func metrics(g Gateway) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{g})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}
