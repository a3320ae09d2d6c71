package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
)

// Status is how a fleet stands, as the leading keeper knows it.
type Status struct {
	Replica                uint64                 `json:"keeper"`
	Leader                 uint64                 `json:"leader"`
	Term                   uint64                 `json:"term"`
	InForce                uint64                 `json:"in_force"`
	Announced              uint64                 `json:"announced"`
	LeaseMillis            int64                  `json:"lease_ms"`
	ConvergenceBoundMillis int64                  `json:"stated_ms"` // T of docs/fleet.md
	Voters                 []uint64               `json:"voters"`
	WaitingFor             []string               `json:"waits,omitempty"` // what an announced version waits for
	Gateways               []lease.GatewayStatus  `json:"gateways"`
	Latest                 *configversion.Version `json:"newest,omitempty"`
}

// ConvergenceBound is the longest time from a version's announcement until no gateway acts on the one before alone, in
// nanoseconds; docs/fleet.md has the reasons.
func ConvergenceBound(t lease.Settings) int64 {
	span := float64(t.LeaseDuration) * (1 + t.MaxClockDrift) / (1 - t.MaxClockDrift)
	return int64(span)
}

func (k *Replica) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /raft", func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, 256<<20))
		if err != nil {
			return
		}
		list, err := parts(b)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		k.do(r.Context(), func() { k.step(list) })
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /hello", func(w http.ResponseWriter, r *http.Request) {
		var g greeting
		if !read(w, r, &g) {
			return
		}
		answer := make(chan int, 1)
		if !k.do(r.Context(), func() {
			switch ok, err := k.store.hello(g.From, g.Starts, g.Incarnation); {
			case err != nil:
				k.err = err
				answer <- http.StatusInternalServerError
			case !ok:
				k.log.Warn("a keeper is refused: a later start of it is known", "from", g.From, "start", g.Starts, "known", k.store.known[g.From])
				answer <- http.StatusConflict
			default:
				k.reads(g.From, g.Form)
				answer <- http.StatusNoContent
			}
		}) {
			return
		}
		select {
		case code := <-answer:
			w.WriteHeader(code)
		case <-k.ended:
		}
	})
	mux.HandleFunc("POST /renew", func(w http.ResponseWriter, r *http.Request) {
		a := &lease.RenewRequest{}
		if read(w, r, a) {
			terse(w)
			k.answer(w, r, func(warden *lease.Manager) any { return warden.Renew(k.now(), a) })
		}
	})
	mux.HandleFunc("GET /news", k.news)
	mux.Handle("GET /content/{digest}", newContents(k))
	mux.Handle("GET /metrics", k.metrics())
	mux.HandleFunc("POST /voters", k.votersHandler)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		k.answer(w, r, func(warden *lease.Manager) any {
			l := k.ledger
			s := Status{Replica: k.opt.ID, Leader: k.leader, Term: k.term, InForce: l.InForce, Announced: l.Announced, Voters: k.conf.GetVoters(), LeaseMillis: l.Settings.LeaseDuration / 1e6, ConvergenceBoundMillis: ConvergenceBound(l.Settings) / 1e6,
				Gateways: warden.Gateways(k.now()), Latest: l.Version(l.Announced)}
			if l.InForce != l.Announced {
				s.WaitingFor = warden.WaitingFor(k.now())
			}
			return s
		})
	})
	mux.HandleFunc("GET /versions", k.versions)
	mux.HandleFunc("POST /propose", func(w http.ResponseWriter, r *http.Request) {
		p := &lease.Proposal{}
		if !read(w, r, p) {
			return
		}
		if size := proposedSize(p.Content); size > configversion.MaxContentBytes {
			http.Error(w, fmt.Sprintf("the rules are %d bytes, and a version has %d at most", size, configversion.MaxContentBytes), http.StatusBadRequest)
			return
		}
		to := make(chan result, 1)
		k.do(r.Context(), func() { k.propose(p, to) })
		ctx, cancel := context.WithTimeout(r.Context(), patience)
		defer cancel()
		select {
		case got := <-to:
			switch {
			case errors.Is(got.err, ErrNotLeader):
				k.elsewhere(w)
			case got.err != nil:
				http.Error(w, got.err.Error(), http.StatusConflict)
			default:
				json.NewEncoder(w).Encode(got.version)
			}
		case <-ctx.Done(): // whether it is in the log is not known; asked for again under its ID, it is told
			http.Error(w, "not in the log yet", http.StatusGatewayTimeout)
		}
	})
	return mux
}

// longestHold is for how long a keeper has somebody wait for news: what a way between may let a connection stand idle.
const longestHold = 20 * time.Second

// news answers once the log's state is another than who asks knows, or after a while. It gives no lease and confirms nothing: who
// hears of news asks for it. What it says may be wrong where this keeper wrongly believes that it leads.
func (k *Replica) news(w http.ResponseWriter, r *http.Request) {
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
		return n
	}
	terse(w)
	known := standing{term: number("term"), inForce: number("in_force"), announced: number("announced"), leads: true}
	hold := time.NewTimer(min(time.Duration(number("hold_ms"))*time.Millisecond, longestHold))
	defer hold.Stop()
	for {
		s := k.stand.Load()
		known.changed = s.changed
		switch {
		case !s.leads:
			k.elsewhere(w)
			return
		case *s != known:
			w.Write([]byte("true"))
			return
		}
		select {
		case <-s.changed:
		case <-hold.C:
			w.Write([]byte("false"))
			return
		case <-r.Context().Done():
			return
		case <-k.ended:
			return
		}
	}
}

// proposedSize is the size of rules as they came, or if that is not too much as a version would have them. Those that cannot be read are
// refused, or kept as they are, in the log.
func proposedSize(b []byte) int {
	if len(b) > configversion.MaxContentBytes {
		return len(b)
	}
	if r, err := configversion.Parse(b); err == nil {
		return len(r.Canonical())
	}
	return len(b)
}

// read reads a request's JSON.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, 64<<20)).Decode(into); err != nil {
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// elsewhere tells that this keeper does not lead.
func (k *Replica) elsewhere(w http.ResponseWriter) {
	http.Error(w, ErrNotLeader.Error(), http.StatusMisdirectedRequest)
}

// answer answers once it is sure that this keeper leads.
func (k *Replica) answer(w http.ResponseWriter, r *http.Request, content func(*lease.Manager) any) {
	to := make(chan []byte, 1)
	k.do(r.Context(), func() {
		k.whenSure(func(warden *lease.Manager) {
			if warden == nil {
				to <- nil
				return
			}
			b, err := json.Marshal(content(warden))
			if err != nil {
				k.log.Error("an answer cannot be written", "why", err)
			}
			to <- b
		})
	})
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	select {
	case b := <-to:
		if b == nil {
			k.elsewhere(w)
			return
		}
		if _, decided := w.Header()["Content-Type"]; !decided {
			w.Header().Set("Content-Type", "application/json")
		}
		w.Write(b)
	case <-ctx.Done():
		http.Error(w, "no majority of the keepers answers", http.StatusServiceUnavailable)
	case <-k.ended:
	}
}
