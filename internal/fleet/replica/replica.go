package replica

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"

	"irispost/internal/fleet/lease"
)

// Settings of Raft. Times are in ticks (Options.TickInterval), sizes in bytes.
const (
	electionTicks     = 10
	heartbeatTicks    = 2
	maxMessageBytes   = 1 << 20
	maxInflightMsgs   = 64
	maxInflightBytes  = 8 << 20
	maxProposalsBytes = 64 << 20 // of entries that are not committed yet
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	callQueueLength   = 1024 // functions queued for the owner goroutine
)

// ErrNotLeader reports that another replica leads, or none. Clients see this text in responses with status 421.
var ErrNotLeader = errors.New("this keeper does not lead")

// Replica is a running replica of the configuration log. Start creates it, Close stops it.
type Replica struct {
	options    Options
	logger     *slog.Logger
	listener   net.Listener
	httpServer *http.Server
	startedAt  time.Time // origin of the replica's clock

	calls    chan func()                  // run by the owner goroutine; see enqueue
	watchers atomic.Pointer[watchedState] // published state that watch requests wait on

	// The fields from here on belong to the owner goroutine, see run.
	store        *store
	node         *raft.RawNode
	machine      *lease.StateMachine
	appliedIndex uint64
	ready        bool // a majority has recorded this start, so Raft messages are accepted
	leadership   leadership
	reads        readQueue
	proposals    map[string]chan<- proposalResult // waiting for their entry to be applied, by proposal ID
	membership   membership

	// Lifecycle. The owner goroutine writes err before it closes stopped.
	ctx        context.Context
	cancel     context.CancelFunc
	stopped    chan struct{}
	err        error
	goroutines sync.WaitGroup // all goroutines except for run itself
}

// Start starts a replica. The replica takes part in Raft once a majority has recorded this start.
func Start(options Options) (*Replica, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	store, err := openStore(options.Dir, options.ID, options.founders())
	if err != nil {
		return nil, err
	}
	r := newReplica(options, store)
	if err := r.open(); err != nil {
		_ = store.db.Close() // the error to report is why the replica does not start
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.connectPeers()
	r.httpServer = &http.Server{
		Handler:           r.announceEntryFormat(r.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		_ = r.httpServer.Serve(r.listener) // returns ErrServerClosed in the end
	}()
	go r.run(r.ctx)
	return r, nil
}

func newReplica(options Options, store *store) *Replica {
	r := &Replica{
		options:   options,
		logger:    options.Logger.With("replica", options.ID),
		startedAt: time.Now(),
		calls:     make(chan func(), callQueueLength),
		store:     store,
		reads:     readQueue{timer: time.NewTimer(0)},
		proposals: map[string]chan<- proposalResult{},
		membership: membership{
			addresses:    store.addresses,
			peers:        map[uint64]*peer{},
			entryFormats: map[uint64]int{},
		},
		stopped: make(chan struct{}),
	}
	maps.Copy(r.membership.addresses, options.Peers) // the options are newer than the recorded addresses
	store.history.onCorrupt = func(part string, err error) {
		r.logger.Warn("version history is partly unreadable", "part", part, "err", err)
	}
	r.watchers.Store(&watchedState{changed: make(chan struct{})})
	return r
}

// open restores the state machine, starts to listen and creates the Raft node.
func (r *Replica) open() error {
	if err := r.restore(); err != nil {
		return err
	}
	var err error
	if r.listener, err = net.Listen("tcp", r.options.Listen); err != nil {
		return err
	}
	if r.node, err = raft.NewRawNode(r.raftConfig()); err != nil {
		_ = r.listener.Close() // no connection was accepted
		return err
	}
	return nil
}

// restore restores the state machine from the snapshot in the folder.
func (r *Replica) restore() error {
	snapshot, err := r.store.memory.Snapshot()
	if err != nil {
		return err
	}
	r.appliedIndex = snapshot.GetMetadata().GetIndex()
	r.membership.configuration = snapshot.GetMetadata().GetConfState()
	r.machine = lease.NewStateMachine()
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	if r.machine, err = lease.Restore(snapshot.GetData()); err != nil {
		return fmt.Errorf("%s: snapshot: %w", filepath.Join(r.options.Dir, databaseName), err)
	}
	return nil
}

func (r *Replica) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        r.options.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.store.memory,
		Applied:                   r.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMsgs,
		MaxInflightBytes:          maxInflightBytes,
		MaxUncommittedEntriesSize: maxProposalsBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		StepDownOnRemoval:         true,
		DisableProposalForwarding: true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
}

// Addr returns the address that the replica listens on.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Done returns a channel that is closed when the replica has stopped; Err then returns the reason.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err returns why the replica stopped by itself, or nil if it was closed. It is valid once Done is closed.
func (r *Replica) Err() error { return r.err }

// Close stops the replica and waits until it has stopped.
func (r *Replica) Close() {
	r.cancel()
	<-r.stopped
}

// now returns the time of the replica's own monotonic clock: nanoseconds since its start, not the time of day.
func (r *Replica) now() lease.Time { return int64(time.Since(r.startedAt)) }

// enqueue queues a function for the owner goroutine, without waiting until it has run. It returns false if the
// function was not queued, as the context or the replica has ended.
func (r *Replica) enqueue(ctx context.Context, call func()) bool {
	select {
	case r.calls <- call:
		return true
	case <-ctx.Done():
	case <-r.stopped:
	}
	return false
}

// currentTerm returns Raft's current term.
func (r *Replica) currentTerm() uint64 { return r.node.BasicStatus().GetTerm() }
