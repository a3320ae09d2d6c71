package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

const (
	requestTimeout      = 5 * time.Second // of a gateway's or an operator's request that waits in a replica
	maxRaftBodyBytes    = 256 << 20       // of POST /raft, which may contain a snapshot
	maxRequestBodyBytes = 64 << 20        // of other requests
)

// Status is the state of the group as its leader knows it: the response to GET /status.
type Status struct {
	Replica                uint64                 `json:"keeper"`
	Leader                 uint64                 `json:"leader"`
	Term                   uint64                 `json:"term"`
	InForce                uint64                 `json:"in_force"`  // number of the version; 0: none
	Announced              uint64                 `json:"announced"` // number of the version; 0: none
	LeaseMillis            int64                  `json:"lease_ms"`
	ConvergenceBoundMillis int64                  `json:"stated_ms"` // see ConvergenceBound
	Voters                 []uint64               `json:"voters"`
	WaitingFor             []string               `json:"waits,omitempty"` // gateways that a version waits for, and why
	Gateways               []lease.GatewayStatus  `json:"gateways"`
	Latest                 *configversion.Version `json:"newest,omitempty"` // the announced one
}

// ConvergenceBound returns the longest time, in nanoseconds, from a version's announcement until no gateway acts on
// the previous version alone: the duration of a lease by the replicas' clocks, which may drift from the gateways'.
// It is T of docs/fleet.md.
func ConvergenceBound(settings lease.Settings) int64 {
	return int64(float64(settings.LeaseDuration) * (1 + settings.MaxClockDrift) / (1 - settings.MaxClockDrift))
}

// routes returns the handler for the requests of peers, gateways and operators.
func (r *Replica) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /raft", r.handleRaftMessages)
	mux.HandleFunc("POST /hello", r.handleAnnouncement)

	mux.HandleFunc("POST /renew", r.handleRenew)
	mux.HandleFunc("GET /news", r.handleWatch)
	mux.Handle("GET /content/{digest}", newContentServer(r))

	mux.HandleFunc("GET /status", r.handleStatus)
	mux.HandleFunc("GET /versions", r.handleVersions)
	mux.HandleFunc("POST /propose", r.handlePropose)
	mux.HandleFunc("POST /voters", r.handleMembershipChange)
	mux.Handle("GET /metrics", r.metricsHandler())
	return mux
}

// handleRaftMessages receives Raft messages of a peer. It responds before they are processed.
func (r *Replica) handleRaftMessages(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRaftBodyBytes))
	if err != nil {
		return
	}
	messages, err := decodeMessages(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.enqueue(req.Context(), func() { r.step(messages) })
	w.WriteHeader(http.StatusNoContent)
}

// handleRenew renews a gateway's lease.
func (r *Replica) handleRenew(w http.ResponseWriter, req *http.Request) {
	request := &lease.RenewRequest{}
	if !decodeBody(w, req, request) {
		return
	}
	omitDefaultHeaders(w)
	r.respondAsLeader(w, req, func(manager *lease.Manager) any { return manager.Renew(r.now(), request) })
}

// handleStatus responds with the Status.
func (r *Replica) handleStatus(w http.ResponseWriter, req *http.Request) {
	r.respondAsLeader(w, req, func(manager *lease.Manager) any { return r.status(manager) })
}

func (r *Replica) status(manager *lease.Manager) Status {
	machine := r.machine
	status := Status{
		Replica:                r.options.ID,
		Leader:                 r.leadership.leader,
		Term:                   r.leadership.term,
		InForce:                machine.InForce,
		Announced:              machine.Announced,
		LeaseMillis:            time.Duration(machine.Settings.LeaseDuration).Milliseconds(),
		ConvergenceBoundMillis: time.Duration(ConvergenceBound(machine.Settings)).Milliseconds(),
		Voters:                 r.membership.configuration.GetVoters(),
		Gateways:               manager.Gateways(r.now()),
		Latest:                 machine.Version(machine.Announced),
	}
	if machine.InForce != machine.Announced {
		status.WaitingFor = manager.WaitingFor(r.now())
	}
	return status
}

// handlePropose submits a proposal to Raft and responds with its version once that is announced.
func (r *Replica) handlePropose(w http.ResponseWriter, req *http.Request) {
	proposal := &lease.Proposal{}
	if !decodeBody(w, req, proposal) {
		return
	}
	if size := canonicalSize(proposal.Content); size > configversion.MaxContentBytes {
		text := fmt.Sprintf("the configuration is %d bytes, the limit is %d bytes", size, configversion.MaxContentBytes)
		http.Error(w, text, http.StatusBadRequest)
		return
	}
	result := make(chan proposalResult, 1)
	r.enqueue(req.Context(), func() { r.propose(proposal, result) })
	outcome, done := awaitProposal(w, req, result)
	if !done {
		return
	}
	if outcome.err != nil {
		writeProposalError(w, outcome.err)
		return
	}
	_ = json.NewEncoder(w).Encode(outcome.version) // a client that misses it proposes again, under the same ID
}

// canonicalSize returns the size of a configuration's canonical form, which a version holds. For a configuration that
// is too large already, or that cannot be parsed and is rejected later, it is the size as sent.
func canonicalSize(content []byte) int {
	if len(content) > configversion.MaxContentBytes {
		return len(content)
	}
	configuration, err := configversion.Parse(content)
	if err != nil {
		return len(content)
	}
	return len(configuration.Canonical())
}

// awaitProposal waits for the outcome of a proposal. If that takes too long, it responds with 504 and returns false:
// whether the proposal gets into the log is then unknown, and a client that repeats it learns the outcome.
func awaitProposal[T any](w http.ResponseWriter, req *http.Request, result <-chan T) (outcome T, done bool) {
	ctx, cancel := context.WithTimeout(req.Context(), requestTimeout)
	defer cancel()
	select {
	case outcome = <-result:
		return outcome, true
	case <-ctx.Done():
		http.Error(w, "not in the log yet", http.StatusGatewayTimeout)
		return outcome, false
	}
}

// writeProposalError responds with the reason why a proposal is rejected.
func writeProposalError(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrNotLeader) {
		writeNotLeader(w)
		return
	}
	http.Error(w, err.Error(), http.StatusConflict)
}

// writeNotLeader responds that this replica does not lead.
func writeNotLeader(w http.ResponseWriter) {
	http.Error(w, ErrNotLeader.Error(), http.StatusMisdirectedRequest)
}

// decodeBody decodes the JSON of a request's body. If that fails, it responds with 400 and returns false.
func decodeBody(w http.ResponseWriter, req *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(req.Body, maxRequestBodyBytes)).Decode(into); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// omitDefaultHeaders omits headers that neither side needs, as each gateway gets a response every second.
func omitDefaultHeaders(w http.ResponseWriter) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
}

// respondAsLeader responds with the JSON of what payload returns, once it is confirmed that this replica leads. The
// owner goroutine calls payload.
func (r *Replica) respondAsLeader(w http.ResponseWriter, req *http.Request, payload func(*lease.Manager) any) {
	response := make(chan []byte, 1) // nil: this replica does not lead
	r.enqueue(req.Context(), func() {
		r.enqueueRead(func(manager *lease.Manager) {
			if manager == nil {
				response <- nil
				return
			}
			encoded, err := json.Marshal(payload(manager))
			if err != nil {
				r.logger.Error("encoding a response failed", "err", err)
			}
			response <- encoded
		})
	})
	ctx, cancel := context.WithTimeout(req.Context(), requestTimeout)
	defer cancel()
	select {
	case encoded := <-response:
		if encoded == nil {
			writeNotLeader(w)
			return
		}
		if _, decided := w.Header()["Content-Type"]; !decided {
			w.Header().Set("Content-Type", "application/json")
		}
		_, _ = w.Write(encoded) // a client that misses it asks again
	case <-ctx.Done():
		http.Error(w, "no majority of the keepers answers", http.StatusServiceUnavailable)
	case <-r.stopped:
	}
}
