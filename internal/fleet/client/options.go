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

// Options configure a Client.
type Options struct {
	Gateway       string        // name of the gateway, for logs
	Holder        string        // identifies this process of the gateway to the replicas; empty: NewHolderID makes one
	Replicas      []string      // addresses at which this gateway reaches them
	RenewInterval time.Duration // time between renewals; a fraction of the lease duration
	PeerAddr      string        // address at which other gateways reach this one; empty: none
	Seed          uint64        // seed for retry jitter and the choice of the first replica

	RecordFile   string // file for the activation record: when which versions were in effect; empty: none
	CacheDir     string // for the last content, not shared with other gateways; empty: each start fetches it in full
	FullVersions bool   // request versions with their contents, as the previous build did; for tests of mixed fleets

	LocalSettings scheduler.Settings // the gateway's own, for whatever a version does not set

	// Now returns the time on the gateway's clock, in nanoseconds. It must never go back.
	Now func() int64
	// OnChange is called after each response, as the configuration in effect may have changed. It must not block.
	OnChange func()
	// OnMembership, if not nil, is called with the membership that came with a lease. It must not block.
	OnMembership func(*lease.MembershipUpdate)
	// LocalConflicts, if not nil, lists the conflicts of the gateway's local configuration with a version.
	LocalConflicts func(*configversion.Config) []string
	// Dial opens connections to replicas; nil: a net.Dialer with a timeout of RenewInterval.
	Dial Dial

	Logger         *slog.Logger
	InjectedFaults lease.InjectedFaults // for tests of the audit of fleets
}

func (o *Options) setDefaults() {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.RenewInterval}).DialContext
	}
	if o.Holder == "" {
		o.Holder = NewHolderID(o.Gateway)
	}
}

// NewHolderID returns an ID for one process of a gateway. It differs from that of any other process on the host and
// of any earlier start of the gateway.
func NewHolderID(gateway string) string {
	return fmt.Sprintf("%s/%d.%d", gateway, os.Getpid(), time.Now().UnixNano())
}
