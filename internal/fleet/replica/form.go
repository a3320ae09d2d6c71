package replica

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"irispost/internal/fleet/lease"
)

// A keeper writes entries of the second form once it knows of each that votes that it reads them; from the first one on the log cannot be
// read by an older program whatever follows, so that no more is asked. Each keeper says the newest form that it reads in its greeting and
// with each of its answers to another keeper.

// formHeader tells in an answer the newest form of entries that a keeper reads.
const formHeader = "Irispost-Form"

// formed has all answers say the form.
func (k *Replica) formed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k.opt.form > 1 {
			w.Header().Set(formHeader, strconv.Itoa(k.opt.form))
		}
		h.ServeHTTP(w, r)
	})
}

// heard takes the form from another keeper's answer.
func (p *peer) heard(ctx context.Context, r *http.Response) {
	form, err := strconv.ParseInt(r.Header.Get(formHeader), 10, 32)
	if err != nil {
		form = 1
	}
	if p.form.Swap(form) != form {
		p.keeper.do(ctx, func() { p.keeper.reads(p.id, int(form)) })
	}
}

// reads notes which form another keeper reads.
func (k *Replica) reads(id uint64, form int) {
	if k.forms[id] != form {
		k.forms[id] = form
		k.log.Info("a keeper reads entries", "of", id, "form", max(form, 1))
	}
}

// form is the one in which entries are written now.
func (k *Replica) form() int {
	if k.ledger.Format >= 2 {
		return k.ledger.Format
	}
	for _, id := range slices.Concat(k.conf.GetVoters(), k.conf.GetVotersOutgoing()) {
		if id != k.opt.ID && k.forms[id] < 2 {
			return 1
		}
	}
	return k.opt.form
}

// propose puts a proposal into the log; to hears what became of it.
func (k *Replica) propose(p *lease.Proposal, to chan result) {
	if k.warden == nil || k.ledger.Settings.LeaseDuration == 0 {
		to <- result{err: ErrNotLeader}
		return
	}
	if err := p.Validate(); err != nil {
		to <- result{err: err}
		return
	}
	k.waiting[p.ID] = to
	k.put(&lease.Command{Propose: p})
}

// put hands a command to the log. Whether it gets there shows later.
func (k *Replica) put(c *lease.Command) {
	b, err := c.EncodeEntry(k.form(), k.ledger)
	if err != nil {
		k.log.Error("a command cannot be written", "why", err)
		return
	}
	if err := k.node.Propose(b); err != nil {
		k.log.Debug("not taken into the log", "why", err)
	}
}

// readEntry reads an entry of the log.
func (k *Replica) readEntry(index uint64, b []byte) (c *lease.Command, err error) {
	if k.opt.form < 2 && b[0] != '{' {
		err = errors.New("it is no JSON")
	} else {
		c, err = lease.DecodeEntry(b)
	}
	if err != nil {
		return nil, fmt.Errorf("entry %d of the log cannot be read, a newer keeper may have written it: %w", index, err)
	}
	return c, nil
}
