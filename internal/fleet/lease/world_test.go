package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"irispost/internal/endpoint"
	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/content"
)

// The world of these tests: keepers around one log, of which one leads and others may still believe that they do; gateways;
// a network that delays, loses and reorders; clocks that drift within the stated part. All chance comes from the run's seed.

// Flaws of the world itself, beside those of the code.
const (
	faultUnconfirmedLeader InjectedFaults = 1 << (iota + 20) // a keeper answers without having made sure that it still leads
	faultWallClock                                           // gateways read a clock that is set back at times
	faultLostLog                                             // a new leader lacks what an older one had acknowledged
	faultSkipSnapshot                                        // a keeper that lags over a compaction goes on with the entries that are left
	faultUncheckedDigest                                     // what has come of contents, and what was on a disk, is taken as it is
	faultStaleDisk                                           // what was on a disk counts as any content
)

const leaseDuration = Time(1e9)

var testSettings = Settings{LeaseDuration: leaseDuration, MaxClockDrift: 0.1}

// configPool is rules that agree and contradict in different ways.
var configPool = func() (list [][]byte) {
	for n := range 24 {
		r := &configversion.Config{RequiredFormat: 1, Shards: 2, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: float64(1 + n%3)}},
			RequestClasses: map[string]configversion.RequestClass{"read": {Idempotency: configversion.Idempotent, LatencyObjective: 1, ClientTimeout: 2}},
			Nodes:          map[string]configversion.Node{"a": {}, "b": {Shard: 1}, "c": {Health: endpoint.Draining}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 3},
			FallbackPolicy: configversion.FallbackPolicy{Duration: Time(n%4) * 2 * leaseDuration, LimitFraction: []float64{0.3, 1}[n%2]}}
		switch n % 5 {
		case 1:
			r.Nodes["a"], r.Nodes["c"] = configversion.Node{Health: endpoint.Draining}, configversion.Node{}
		case 2:
			delete(r.Nodes, "b")
		case 3:
			r.RequestClasses["read"] = configversion.RequestClass{Idempotency: configversion.NonIdempotent, LatencyObjective: 1, ClientTimeout: 2}
		}
		list = append(list, r.Canonical())
	}
	return append(list, []byte(`{"needs": 9}`))
}()

// configPoolWithoutFallbacks is the same without floors.
var configPoolWithoutFallbacks = func() (list [][]byte) {
	for _, b := range configPool[:24] {
		r, _ := configversion.Parse(b)
		r.FallbackPolicy.Duration = 0
		list = append(list, r.Canonical())
	}
	return list
}()

type message struct {
	at      Time
	deliver func()
}

type clock struct {
	rate   float64
	offset Time
}

func (c clock) at(now Time) Time { return c.offset + Time(float64(now)*c.rate) }

type replica struct {
	clock
	state   *StateMachine
	applied int
	manager *Manager // nil: it does not believe that it leads
	term    uint64
	pending []*logEntry // on their way into the log
}

// logEntry is a command as it is put into the log, in runs where entries are coded, or as it is.
type logEntry struct {
	command *Command
	encoded []byte
}

// decode is the command as a keeper reads it.
func (e *logEntry) decode() *Command {
	if e.encoded == nil {
		return e.command
	}
	c, err := DecodeEntry(e.encoded)
	if err != nil {
		panic(err)
	}
	return c
}

type gateway struct {
	clock
	client       *Client
	stopped      bool
	cut          bool     // its messages are lost
	reaches      *replica // the one that it reaches; nil: all
	fullVersions bool     // it asks in the form before: versions come whole
	cache        *content.Cache
	diskContents [][]byte // what has been on its disk
}

type world struct {
	rand         *rand.Rand
	faults       InjectedFaults
	conditions   conditions
	now          Time
	postCount    int
	messages     []message // by time
	log          []*logEntry
	firstIndex   int    // entries before it were compacted
	snapshot     []byte // in their place
	retention    retention
	encodes      bool              // entries and snapshots are written and read
	forgotten    map[uint64]string // digests of versions that were forgotten
	committed    *StateMachine
	acknowledged []*configversion.Version // proposals that were answered
	replicas     []*replica
	leader       *replica
	term         uint64
	gateways     []*gateway
	starts       int
	healed       bool // nothing is lost or slow any more
	compatible   map[compatibility]bool
	violation    string
	steps        int
}

// conditions is what a run has much or little of, so that rare things come together in some runs.
type conditions struct {
	loss, slow     float64 // parts of the messages
	maxDelay       Time
	elections      float64 // a step
	cuts, restarts float64
	keepsLeading   float64 // part of those that led who go on believing it
	fallbacks      bool
	extremeDrift   bool // clocks drift as far as is stated
	maxStep        Time
}

func (w *world) chance(part float64) bool { return w.rand.Float64() < part }

func (w *world) draw(list ...float64) float64 { return list[w.rand.IntN(len(list))] }

type compatibility struct {
	effective *configversion.Config
	inForce   uint64
}

func newWorld(seed uint64, flaws InjectedFaults) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), faults: flaws, committed: NewStateMachine(), compatible: map[compatibility]bool{}, forgotten: map[uint64]string{}, encodes: seed%16 == 1,
		retention: retention{enabled: seed%5 != 4, baseVersions: int(seed % 3), batchSize: 1 + int(seed/3%2)}}
	w.conditions = conditions{loss: w.draw(0, 0.1, 0.4), slow: w.draw(0, 0.1, 0.5), maxDelay: Time(w.draw(0.1, 0.5, 2, 6) * float64(leaseDuration)),
		elections: w.draw(0.002, 0.02, 0.05), cuts: w.draw(0, 0.02, 0.08), restarts: w.draw(0, 0.01, 0.03), keepsLeading: w.draw(0.2, 0.9),
		fallbacks: w.chance(0.5), extremeDrift: w.chance(0.5), maxStep: Time(w.draw(0.05, 0.1, 0.3) * float64(leaseDuration))}
	for range 3 {
		w.replicas = append(w.replicas, &replica{clock: w.clock(), state: NewStateMachine()})
	}
	for range 2 + w.rand.IntN(3) {
		h := &gateway{clock: w.clock(), fullVersions: w.chance(0.3)}
		w.gateways = append(w.gateways, h)
		w.start(h)
	}
	w.log = append(w.log, &logEntry{command: &Command{Bootstrap: &testSettings}})
	w.committed.Apply(w.log[0].command)
	w.elect()
	return w
}

func (w *world) clock() clock {
	drift := 2*w.rand.Float64() - 1
	if w.conditions.extremeDrift {
		drift = w.draw(-1, 1)
	}
	return clock{rate: 1 + testSettings.MaxClockDrift*drift, offset: w.rand.Int64N(int64(leaseDuration) * 100)}
}

func (w *world) start(h *gateway) {
	w.starts++
	h.client = NewClient("g"+strconv.Itoa(w.starts), leaseDuration/4, w.faults)
	h.startCache(w)
}

func (w *world) post(after Time, what func()) {
	w.postCount++
	at := w.now + after
	i := sort.Search(len(w.messages), func(i int) bool { return w.messages[i].at > at })
	w.messages = slices.Insert(w.messages, i, message{at, what})
}

// delay is how long a message takes; below 0: it is lost.
func (w *world) delay() Time {
	if w.healed {
		return leaseDuration / 1000
	}
	switch {
	case w.chance(w.conditions.loss):
		return -1
	case w.chance(w.conditions.slow):
		return w.rand.Int64N(w.conditions.maxDelay)
	}
	return w.rand.Int64N(leaseDuration / 20)
}

// enqueue has a keeper that leads hand a command to the log.
func (w *world) enqueue(k *replica, c *Command) *logEntry {
	e := &logEntry{command: c}
	if w.encodes {
		var err error
		if e.encoded, err = c.EncodeEntry(Format, k.state); err != nil {
			panic(err)
		}
	}
	k.pending = append(k.pending, e)
	return e
}

// commit puts commands into the log.
func (w *world) commit(k *replica, e *logEntry) {
	i := slices.Index(k.pending, e)
	if i < 0 || k != w.leader {
		return
	}
	k.pending = slices.Delete(k.pending, i, i+1)
	w.log = append(w.log, e)
	for _, n := range e.command.Forget {
		if v := w.committed.Version(n); v != nil {
			w.forgotten[n] = v.Digest
		}
	}
	v, err := w.committed.Apply(e.decode())
	if err == nil && v != nil {
		w.acknowledged = append(w.acknowledged, v)
	}
	if errors.Is(err, ErrInvalidEntry) {
		w.violation = err.Error()
	}
	if w.encodes && k.applied > w.firstIndex+8 {
		w.firstIndex, w.snapshot = k.applied, k.state.Snapshot()
	}
}

func (w *world) apply(k *replica, to int) {
	if to = min(to, len(w.log)); k.applied < min(w.firstIndex, to) {
		if !w.faults.Has(faultSkipSnapshot) {
			l, err := Restore(w.snapshot)
			if err != nil {
				panic(err)
			}
			k.state, k.manager = l, nil
		}
		k.applied = w.firstIndex
	}
	for ; k.applied < to; k.applied++ {
		c := w.log[k.applied].decode()
		if _, err := k.state.Apply(c); errors.Is(err, ErrInvalidEntry) {
			w.violation = err.Error()
		}
		if k.manager != nil {
			k.manager.Applied(c)
		}
	}
}

// checkReplicas holds each keeper's ledger against what the log comes to.
func (w *world) checkReplicas() {
	view := func(l *StateMachine) string {
		c := *l
		c.Format = 0 // so that contents are in it
		return string(c.Snapshot())
	}
	for i, k := range w.replicas {
		if w.apply(k, len(w.log)); w.violation == "" && view(k.state) != view(w.committed) {
			w.violation = fmt.Sprintf("keeper %d has %d versions of %d, %d announced, and the log comes to %d of %d", i, len(k.state.Versions), k.state.InForce, k.state.Announced,
				len(w.committed.Versions), w.committed.Announced)
		}
	}
}

// elect has another keeper lead. The one before may not know.
func (w *world) elect() {
	if old := w.leader; old != nil {
		for _, e := range slices.Clone(old.pending) {
			if w.rand.IntN(2) == 0 {
				w.commit(old, e)
			}
		}
		old.pending = nil
		if !w.chance(w.conditions.keepsLeading) {
			old.manager = nil
		} else {
			for _, h := range w.gateways { // some are on its side of the cut
				if w.rand.IntN(3) == 0 {
					h.reaches = old
				}
			}
		}
	}
	if w.faults.Has(faultLostLog) && len(w.log) > w.firstIndex+1 && w.rand.IntN(4) == 0 {
		w.log = w.log[:len(w.log)-1]
		w.committed = NewStateMachine()
		for _, e := range w.log {
			w.committed.Apply(e.decode())
		}
		for _, k := range w.replicas {
			k.state, k.applied, k.manager = NewStateMachine(), 0, nil
		}
	}
	w.term++
	k := w.replicas[w.rand.IntN(len(w.replicas))]
	w.leader = k
	k.manager, k.term = nil, w.term
	w.apply(k, len(w.log))
	k.manager = NewManager(k.at(w.now), w.term, k.state, w.faults)
	k.manager.retention = w.retention
}

// runManager has a keeper that believes that it leads do what is due.
func (w *world) runManager(k *replica) {
	if k.manager == nil {
		return
	}
	if k == w.leader {
		w.apply(k, len(w.log))
	}
	if c := k.manager.NextCommand(k.at(w.now)); c != nil && k == w.leader {
		e := w.enqueue(k, c)
		w.post(max(w.delay(), 0)/4, func() { w.commit(k, e) })
	}
}

func (w *world) propose() {
	k := w.leader
	p := &Proposal{ID: strconv.Itoa(w.postCount), Parent: k.state.Announced, ReplacePending: w.rand.IntN(2) == 0, Content: configPool[w.rand.IntN(len(configPool))]}
	if !w.conditions.fallbacks && len(p.Content) > 20 {
		p.Content = configPoolWithoutFallbacks[w.rand.IntN(len(configPoolWithoutFallbacks))]
	}
	w.postCount++
	e := w.enqueue(k, &Command{Propose: p})
	w.post(max(w.delay(), 0)/4, func() { w.commit(k, e) })
}

// sendRequest has a gateway ask a keeper that believes that it leads.
func (w *world) sendRequest(h *gateway) {
	if h.stopped {
		return
	}
	k := w.leader
	if other := w.replicas[w.rand.IntN(len(w.replicas))]; other.manager != nil {
		k = other
	}
	if h.reaches != nil && h.reaches.manager != nil {
		k = h.reaches
	}
	f, a := h.client, h.client.NextRequest(h.at(w.now))
	if h.fullVersions {
		a.Format = 0
	}
	d := w.delay()
	if d < 0 || h.cut {
		return
	}
	w.post(d, func() {
		term, first := k.term, w.delay()
		w.post(max(first, 0)/4, func() {
			sure, upTo := k == w.leader && k.term == term, len(w.log)
			w.post(max(w.delay(), 0)/4, func() {
				if k.manager == nil || k.term != term || !sure && !w.faults.Has(faultUnconfirmedLeader) {
					return
				}
				if sure {
					w.apply(k, upTo)
				}
				g := k.manager.Renew(k.at(w.now), a)
				if back := w.delay(); back >= 0 {
					w.post(back, func() { w.deliverResponse(h, f, g) })
				}
			})
		})
	})
}

func (w *world) deliverResponse(h *gateway, f *Client, g *RenewResponse) {
	switch {
	case h.client != f: // that start of it is over
	case h.stopped:
		w.post(leaseDuration/10, func() { w.deliverResponse(h, f, g) })
	default:
		w.fetchContents(h, f, g)
	}
}

// step does one thing.
func (w *world) step() {
	w.steps++
	h := w.gateways[w.rand.IntN(len(w.gateways))]
	m := &w.conditions
	switch {
	case w.healed:
		w.advance()
	case w.chance(m.elections):
		w.elect()
	case w.chance(m.cuts):
		switch w.rand.IntN(4) {
		case 0:
			h.stopped = !h.stopped
		case 1:
			h.reaches = w.replicas[w.rand.IntN(len(w.replicas))]
		default:
			h.cut = !h.cut
		}
	case w.chance(m.restarts):
		w.start(h)
		h.stopped = false
	case w.faults.Has(faultWallClock) && w.chance(0.05):
		h.offset -= w.rand.Int64N(4 * leaseDuration)
	case w.chance(0.08):
		w.propose()
	case w.chance(0.05):
		w.sendRequest(h)
	case w.chance(0.05 * (1 - m.keepsLeading)):
		for _, k := range w.replicas {
			if k != w.leader {
				k.manager = nil
			}
		}
	default:
		w.advance()
	}
	for _, k := range w.replicas {
		w.runManager(k)
	}
	for _, h := range w.gateways {
		if !h.stopped && h.client.NextRequestAt(h.at(w.now)) <= h.at(w.now) {
			w.sendRequest(h)
		}
	}
	w.check()
}

// advance lets time go by, up to the next message.
func (w *world) advance() {
	if len(w.messages) > 0 && (w.healed || w.chance(0.8)) && w.messages[0].at <= w.now+w.conditions.maxStep {
		m := w.messages[0]
		w.messages = w.messages[1:]
		w.now = max(w.now, m.at)
		m.deliver()
		return
	}
	w.now += w.rand.Int64N(w.conditions.maxStep)
}

// check holds each gateway's rules against those in force by the log.
func (w *world) check() {
	var inForce *configversion.Config
	if v := w.committed.Version(w.committed.InForce); v != nil {
		inForce, _ = v.Config()
	}
	for i, h := range w.gateways {
		if h.stopped {
			continue
		}
		effect := h.client.Effective(h.at(w.now))
		if effect == nil {
			continue
		}
		if numbers, _ := h.client.HeldVersions(); w.faults&^FaultForgetHeldVersions == 0 && slices.ContainsFunc(numbers, func(n uint64) bool { return w.committed.Version(n) == nil }) {
			w.violation = fmt.Sprintf("at step %d gateway %d acts on %s, and of %v some are forgotten", w.steps, i, h.client.EffectiveName(), numbers)
			return
		}
		key := compatibility{effect, w.committed.InForce}
		if w.compatible[key] {
			continue
		}
		if inForce == nil {
			w.violation = fmt.Sprintf("gateway %d acts on %s, and nothing is in force", i, h.client.EffectiveName())
			return
		}
		if list := configversion.Exceeds(effect, inForce); len(list) > 0 {
			w.violation = fmt.Sprintf("at step %d gateway %d acts on %s, in force is %d: %v", w.steps, i, h.client.EffectiveName(), w.committed.InForce, list)
			return
		}
		w.compatible[key] = true
	}
	for _, v := range w.acknowledged {
		digest := w.forgotten[v.Number]
		if o := w.committed.Version(v.Number); o != nil {
			digest = o.Digest
		}
		if digest != v.Digest {
			w.violation = fmt.Sprintf("version %s was acknowledged and is lost", v.Name())
		}
	}
}

// simulate plays a run of so many steps, then heals all and sees that the newest version comes into force within the stated time.
func simulate(seed uint64, flaws InjectedFaults, steps int) (w *world) {
	w = newWorld(seed, flaws)
	for w.steps < steps && w.violation == "" {
		w.step()
	}
	if w.violation == "" {
		w.checkReplicas()
	}
	if w.violation != "" || flaws&^FaultForgetNothing != 0 || seed%8 != 0 { // healing takes most of the time
		return w
	}
	w.healed = true
	for _, h := range w.gateways {
		h.stopped, h.cut, h.reaches = false, false, nil
	}
	for _, k := range w.replicas {
		if k != w.leader {
			k.manager = nil
		}
	}
	w.apply(w.leader, len(w.log))
	w.commit(w.leader, w.enqueue(w.leader, &Command{Propose: &Proposal{ID: "last", Parent: w.committed.Announced, ReplacePending: true, Content: configPool[0]}}))
	last, began := w.committed.Announced, w.now
	floors := testSettings.withDrift(testSettings.withDrift(w.committed.longestFallback()))
	stated := testSettings.withDrift(testSettings.withDrift(leaseDuration)) + 10*leaseDuration // and the messages that were under way before
	for w.committed.InForce < last && w.violation == "" && w.now < began+stated+floors {
		w.step()
	}
	if w.violation == "" && w.committed.InForce != last {
		w.violation = fmt.Sprintf("version %d is not in force %d ms after all has healed: %v", last, (w.now-began)/1e6,
			w.leader.manager.WaitingFor(w.leader.at(w.now)))
	}
	most := w.retention.baseVersions + w.retention.batchSize + 1 // as only the newest is acted on now, and it and fewer than a batch stay beside the bases
	for began = w.now; w.retention.enabled && len(w.committed.Versions) > most && w.violation == ""; w.step() {
		if w.now > began+stated+floors {
			w.violation = fmt.Sprintf("%d versions are kept, %d at most would do", len(w.committed.Versions), most)
		}
	}
	if w.violation == "" {
		w.checkReplicas()
	}
	return w
}

// simulateMany plays many and returns the first seed that breaks, with what; 0: none.
func simulateMany(from, count uint64, flaws InjectedFaults, steps int) (seed uint64, why string, total int64) {
	var next, all atomic.Int64
	var lock sync.Mutex
	var done sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				n := uint64(next.Add(1)) + from
				lock.Lock()
				over := n > from+count || seed > 0 && n > seed
				lock.Unlock()
				if over {
					return
				}
				w := simulate(n, flaws, steps)
				all.Add(int64(w.steps))
				if w.violation != "" {
					lock.Lock()
					if seed == 0 || n < seed {
						seed, why = n, w.violation
					}
					lock.Unlock()
				}
			}
		}()
	}
	done.Wait()
	return seed, why, all.Load()
}

// IRISPOST_RUNS plays more runs than the tests do.
func TestNoContradiction(t *testing.T) {
	count := uint64(2000)
	if s := os.Getenv("IRISPOST_RUNS"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		count = n
	}
	seed, why, steps := simulateMany(0, count, 0, 200)
	if seed > 0 {
		t.Fatalf("seed %d: %s", seed, why)
	}
	t.Logf("%d runs, %d steps", count, steps)
}

// Each defect has to be found, or nothing would be shown by finding none.
func TestInjectedFaultsAreFound(t *testing.T) {
	for name, flaw := range map[string]InjectedFaults{ // that an ask is from before the term has a test of its own
		"lease from receipt": FaultLeaseFromReceipt, "no wait": FaultNoWait, "no meet": FaultNoIntersection, "a new leader knows nobody": FaultNewLeaderAssumesNoLeases,
		"floors not waited for": FaultIgnoreFallbacks, "no drift": FaultIgnoreClockDrift, "grants in any order": FaultAcceptReordered, "leases beside the log": FaultLeaseWithoutJoin,
		"no leases": FaultNoLeaseExpiry, "no confirmation": faultUnconfirmedLeader, "wall clock": faultWallClock, "log lost": faultLostLog,
		"digest not checked": faultUncheckedDigest, "an old spool acted on": faultStaleDisk,
		"a base dropped while a floor rests on it": FaultForgetHeldVersions, "none forgotten": FaultForgetNothing, "no snapshot after a compaction": faultSkipSnapshot} {
		seed, why, _ := simulateMany(0, 20000, flaw, 200)
		if seed == 0 {
			t.Errorf("%s: not found", name)
			continue
		}
		t.Logf("%-40s run %5d: %s", name, seed, why)
	}
}

// What a leading keeper makes of asks that do not say what they seem to.
func TestMisleadingRequests(t *testing.T) {
	at := func(owner string, floor Time) []byte {
		r, _ := configversion.Parse(configPool[0])
		r.FallbackPolicy = configversion.FallbackPolicy{Duration: floor, LimitFraction: 1}
		r.Nodes = map[string]configversion.Node{owner: {}, "z": {Shard: 1}}
		return r.Canonical()
	}
	lead := func(flaw InjectedFaults, versions ...[]byte) *Manager {
		l := NewStateMachine()
		l.Apply(&Command{Bootstrap: &testSettings})
		l.Apply(&Command{Join: []string{"g"}})
		for i, r := range versions {
			l.Apply(&Command{Activate: l.Announced})
			if _, err := l.Apply(&Command{Propose: &Proposal{ID: strconv.Itoa(i), Parent: l.Announced, ReplacePending: true, Content: r}}); err != nil {
				t.Fatal(err)
			}
		}
		return NewManager(0, 7, l, flaw)
	}
	// One that was long under way tells of what the gateway held once: taken for news, a version would come into force that contradicts
	// the floor that it is on since.
	for _, flaw := range []InjectedFaults{0, FaultTrustEarlierTerms} {
		w := lead(flaw, at("a", 100*leaseDuration), at("b", 100*leaseDuration), at("a", 100*leaseDuration), at("a", 100*leaseDuration))
		w.state.Announced = 3
		w.Renew(0, &RenewRequest{Holder: "g", Seq: 3, Term: 2, HeldVersions: []uint64{1}}) // by now it is on the floor of the second
		w.state.Announced = 4
		c := w.NextCommand(10 * leaseDuration)
		if forced := c != nil && c.Activate == 4; forced != (flaw == FaultTrustEarlierTerms) {
			t.Errorf("flaws %b: %+v, %v", flaw, c, w.WaitingFor(10*leaseDuration))
		}
	}
	// A gateway that is heard and does not hear asks on for ever; one that cannot read the version says so, and is waited for.
	for _, trouble := range []string{"", "it cannot be read"} {
		w, forced := lead(0, at("a", 0), at("b", 0)), Time(0)
		for now := Time(0); now < 10*leaseDuration && forced == 0; now += leaseDuration / 5 {
			w.Renew(now, &RenewRequest{Holder: "g", Seq: 1 + uint64(now), Term: 7, HeldVersions: []uint64{1}, Fault: trouble})
			if c := w.NextCommand(now); c != nil && c.Activate == 2 {
				forced = now
			}
		}
		if bound := 2*testSettings.withDrift(leaseDuration) + leaseDuration/2; (forced == 0) != (trouble != "") || forced > bound || len(w.holders["g"].grants) > 1 {
			t.Errorf("trouble %q: in force after %d ms, %d grants kept", trouble, forced/1e6, len(w.holders["g"].grants))
		}
	}
}
