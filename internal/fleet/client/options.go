package client

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/lease"
	"irispost/scheduler"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are the settings that a Client starts with.
type Options struct {
	Gateway       string        // the gateway's name, for logs
	Holder        string        // names this start of the gateway to the replicas; empty: NewHolderID makes one
	Replicas      []string      // addresses, as this gateway reaches them
	RenewInterval time.Duration // between renewals; a fraction of the lease
	PeerAddr      string        // where other gateways reach this one; empty: they do not
	Seed          uint64        // of the spread of retries

	RecordFile   string // file for the times at which versions were in effect; empty: none
	CacheDir     string // folder of this gateway's own for the last content; empty: none, a start fetches the full content
	FullVersions bool   // request versions with their contents, as the build before did: for tests of mixed fleets

	LocalSettings scheduler.Settings // the gateway's own; they count for what a version does not set

	// Now is the gateway's clock, in nanoseconds; it never goes back.
	Now func() int64
	// OnChange is called after each response: what is in effect may have changed. It must not wait.
	OnChange func()
	// OnMembership is called with the members that a lease came with. It must not wait. nil: not called.
	OnMembership func(*lease.MembershipUpdate)
	// LocalConflicts lists in what the gateway's own configuration contradicts a version. nil: not called.
	LocalConflicts func(*configversion.Config) []string
	// Dial opens connections to replicas; nil: a net.Dialer that gives up after RenewInterval.
	Dial Dial

	Logger         *slog.Logger
	InjectedFaults lease.InjectedFaults // for tests of the fleet's audit
}

func (o *Options) setDefaults() {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.RenewInterval}).DialContext
	}
	if o.Holder == "" {
		o.Holder = NewHolderID(o.Gateway)
	}
}

// NewHolderID names one start of a gateway. No other start, of this gateway or another on the host, has the same
// name.
func NewHolderID(gateway string) string {
	return fmt.Sprintf("%s/%d.%d", gateway, os.Getpid(), time.Now().UnixNano())
}
