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
	callQueueLength   = 1024 // functions that wait for the owner goroutine
)

// ErrNotLeader reports that another replica leads, or none. Clients see this text in answers with status 421.
var ErrNotLeader = errors.New("this keeper does not lead")

// Replica is a running replica.
type Replica struct {
	options    Options
	logger     *slog.Logger
	listener   net.Listener
	httpServer *http.Server
	startedAt  time.Time // origin of the replica's clock

	calls    chan func()                  // run by the owner goroutine; see do
	watchers atomic.Pointer[watchedState] // what requests that watch are compared with

	// From here on everything belongs to the goroutine of run.
	store        *store
	node         *raft.RawNode
	machine      *lease.StateMachine
	appliedIndex uint64
	ready        bool // it has announced this start to a majority and takes Raft messages
	leadership   leadership
	reads        readQueue
	proposals    map[string]chan<- proposalResult // that wait for their entry, by proposal ID
	membership   membership

	// The lifetime. err is written by the owner goroutine before stopped is closed.
	ctx        context.Context
	cancel     context.CancelFunc
	stopped    chan struct{}
	err        error
	goroutines sync.WaitGroup // all but run itself
}

// Start starts a replica. It takes part in Raft once a majority has recorded this start of it.
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
		_ = store.db.Close() // the error that matters is why it does not start
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
		_ = r.httpServer.Serve(r.listener) // ends with ErrServerClosed
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
	maps.Copy(r.membership.addresses, options.Peers) // the options are newer than what was recorded
	store.history.onCorrupt = func(part string, err error) {
		r.logger.Warn("version history is partly unreadable", "part", part, "err", err)
	}
	r.watchers.Store(&watchedState{changed: make(chan struct{})})
	return r
}

// open restores the state machine, starts to listen and makes the Raft node.
func (r *Replica) open() error {
	if err := r.restore(); err != nil {
		return err
	}
	var err error
	if r.listener, err = net.Listen("tcp", r.options.Listen); err != nil {
		return err
	}
	if r.node, err = raft.NewRawNode(r.raftConfig()); err != nil {
		_ = r.listener.Close() // nothing was accepted
		return err
	}
	return nil
}

// restore takes the state machine from the snapshot in the folder.
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

// Addr is the address that it serves at.
func (r *Replica) Addr() string { return r.listener.Addr().String() }

// Done is closed when the replica has stopped; then Err tells why.
func (r *Replica) Done() <-chan struct{} { return r.stopped }

// Err is why the replica stopped by itself; nil where it was closed. It is valid once Done is closed.
func (r *Replica) Err() error { return r.err }

// Close stops the replica and waits until it has stopped.
func (r *Replica) Close() {
	r.cancel()
	<-r.stopped
}

// now reads the replica's own clock: nanoseconds since its start. It never goes back and is not the time of day.
func (r *Replica) now() lease.Time { return int64(time.Since(r.startedAt)) }

// do has the owner goroutine run a function. It returns once the function is queued; false where it never will run.
func (r *Replica) do(ctx context.Context, call func()) bool {
	select {
	case r.calls <- call:
		return true
	case <-ctx.Done():
	case <-r.stopped:
	}
	return false
}

// currentTerm is Raft's term.
func (r *Replica) currentTerm() uint64 { return r.node.BasicStatus().GetTerm() }
