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
	noConfirm  InjectedFaults = 1 << (iota + 20) // a keeper answers without having made sure that it still leads
	wallClock                                    // gateways read a clock that is set back at times
	lostLog                                      // a new leader lacks what an older one had acknowledged
	noSnapshot                                   // a keeper that lags over a compaction goes on with the entries that are left
	noDigest                                     // what has come of contents, and what was on a disk, is taken as it is
	oldSpool                                     // what was on a disk counts as any content
)

const lease = Time(1e9)

var testTerms = Settings{LeaseDuration: lease, MaxClockDrift: 0.1}

// pool is rules that agree and contradict in different ways.
var pool = func() (list [][]byte) {
	for n := range 24 {
		r := &configversion.Config{RequiredFormat: 1, Shards: 2, MeanRequestUnits: 1, ServiceLevels: map[string]configversion.ServiceLevel{"gold": {Weight: 1, RateLimit: float64(1 + n%3)}},
			RequestClasses: map[string]configversion.RequestClass{"read": {Idempotency: configversion.Idempotent, LatencyObjective: 1, ClientTimeout: 2}},
			Nodes:          map[string]configversion.Node{"a": {}, "b": {Shard: 1}, "c": {Health: endpoint.Draining}}, Dispatch: configversion.DispatchPolicy{MaxAttempts: 3},
			FallbackPolicy: configversion.FallbackPolicy{Duration: Time(n%4) * 2 * lease, LimitFraction: []float64{0.3, 1}[n%2]}}
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

// bare is the same without floors.
var bare = func() (list [][]byte) {
	for _, b := range pool[:24] {
		r, _ := configversion.Parse(b)
		r.FallbackPolicy.Duration = 0
		list = append(list, r.Canonical())
	}
	return list
}()

type mail struct {
	at   Time
	what func()
}

type clock struct {
	rate float64
	off  Time
}

func (c clock) at(now Time) Time { return c.off + Time(float64(now)*c.rate) }

type keeper struct {
	clock
	ledger  *StateMachine
	applied int
	warden  *Manager // nil: it does not believe that it leads
	term    uint64
	out     []*entry // on their way into the log
}

// entry is a command as it is put into the log, in runs where entries are coded, or as it is.
type entry struct {
	c     *Command
	coded []byte
}

// read is the command as a keeper reads it.
func (e *entry) read() *Command {
	if e.coded == nil {
		return e.c
	}
	c, err := DecodeEntry(e.coded)
	if err != nil {
		panic(err)
	}
	return c
}

type host struct {
	clock
	f       *Client
	stopped bool
	cut     bool    // its messages are lost
	only    *keeper // the one that it reaches; nil: all
	before  bool    // it asks in the form before: versions come whole
	hold    *content.Cache
	spool   [][]byte // what has been on its disk
}

type world struct {
	rand    *rand.Rand
	flaws   InjectedFaults
	mood    mood
	now     Time
	count   int
	mail    []mail // by time
	log     []*entry
	first   int    // entries before it were compacted
	snap    []byte // in their place
	retain  retention
	coded   bool              // entries and snapshots are written and read
	history map[uint64]string // digests of versions that were forgotten
	truth   *StateMachine
	acked   []*configversion.Version // proposals that were answered
	keepers []*keeper
	leader  *keeper
	term    uint64
	hosts   []*host
	starts  int
	calm    bool // nothing is lost or slow any more
	fits    map[fit]bool
	broken  string
	steps   int
}

// mood is what a run has much or little of, so that rare things come together in some runs.
type mood struct {
	loss, slow     float64 // parts of the messages
	slowest        Time
	elections      float64 // a step
	cuts, restarts float64
	firm           float64 // part of those that led who go on believing it
	floors         bool
	extremes       bool // clocks drift as far as is stated
	pace           Time
}

func (w *world) chance(part float64) bool { return w.rand.Float64() < part }

func (w *world) draw(list ...float64) float64 { return list[w.rand.IntN(len(list))] }

type fit struct {
	effect  *configversion.Config
	inForce uint64
}

func newWorld(seed uint64, flaws InjectedFaults) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), flaws: flaws, truth: NewStateMachine(), fits: map[fit]bool{}, history: map[uint64]string{}, coded: seed%16 == 1,
		retain: retention{on: seed%5 != 4, bases: int(seed % 3), batch: 1 + int(seed/3%2)}}
	w.mood = mood{loss: w.draw(0, 0.1, 0.4), slow: w.draw(0, 0.1, 0.5), slowest: Time(w.draw(0.1, 0.5, 2, 6) * float64(lease)),
		elections: w.draw(0.002, 0.02, 0.05), cuts: w.draw(0, 0.02, 0.08), restarts: w.draw(0, 0.01, 0.03), firm: w.draw(0.2, 0.9),
		floors: w.chance(0.5), extremes: w.chance(0.5), pace: Time(w.draw(0.05, 0.1, 0.3) * float64(lease))}
	for range 3 {
		w.keepers = append(w.keepers, &keeper{clock: w.clock(), ledger: NewStateMachine()})
	}
	for range 2 + w.rand.IntN(3) {
		h := &host{clock: w.clock(), before: w.chance(0.3)}
		w.hosts = append(w.hosts, h)
		w.start(h)
	}
	w.log = append(w.log, &entry{c: &Command{Bootstrap: &testTerms}})
	w.truth.Apply(w.log[0].c)
	w.elect()
	return w
}

func (w *world) clock() clock {
	drift := 2*w.rand.Float64() - 1
	if w.mood.extremes {
		drift = w.draw(-1, 1)
	}
	return clock{rate: 1 + testTerms.MaxClockDrift*drift, off: w.rand.Int64N(int64(lease) * 100)}
}

func (w *world) start(h *host) {
	w.starts++
	h.f = NewClient("g"+strconv.Itoa(w.starts), lease/4, w.flaws)
	h.begin(w)
}

func (w *world) post(after Time, what func()) {
	w.count++
	at := w.now + after
	i := sort.Search(len(w.mail), func(i int) bool { return w.mail[i].at > at })
	w.mail = slices.Insert(w.mail, i, mail{at, what})
}

// delay is how long a message takes; below 0: it is lost.
func (w *world) delay() Time {
	if w.calm {
		return lease / 1000
	}
	switch {
	case w.chance(w.mood.loss):
		return -1
	case w.chance(w.mood.slow):
		return w.rand.Int64N(w.mood.slowest)
	}
	return w.rand.Int64N(lease / 20)
}

// put has a keeper that leads hand a command to the log.
func (w *world) put(k *keeper, c *Command) *entry {
	e := &entry{c: c}
	if w.coded {
		var err error
		if e.coded, err = c.EncodeEntry(Format, k.ledger); err != nil {
			panic(err)
		}
	}
	k.out = append(k.out, e)
	return e
}

// commit puts commands into the log.
func (w *world) commit(k *keeper, e *entry) {
	i := slices.Index(k.out, e)
	if i < 0 || k != w.leader {
		return
	}
	k.out = slices.Delete(k.out, i, i+1)
	w.log = append(w.log, e)
	for _, n := range e.c.Forget {
		if v := w.truth.Version(n); v != nil {
			w.history[n] = v.Digest
		}
	}
	v, err := w.truth.Apply(e.read())
	if err == nil && v != nil {
		w.acked = append(w.acked, v)
	}
	if errors.Is(err, ErrInvalidEntry) {
		w.broken = err.Error()
	}
	if w.coded && k.applied > w.first+8 {
		w.first, w.snap = k.applied, k.ledger.Snapshot()
	}
}

func (w *world) apply(k *keeper, to int) {
	if to = min(to, len(w.log)); k.applied < min(w.first, to) {
		if !w.flaws.Has(noSnapshot) {
			l, err := Restore(w.snap)
			if err != nil {
				panic(err)
			}
			k.ledger, k.warden = l, nil
		}
		k.applied = w.first
	}
	for ; k.applied < to; k.applied++ {
		c := w.log[k.applied].read()
		if _, err := k.ledger.Apply(c); errors.Is(err, ErrInvalidEntry) {
			w.broken = err.Error()
		}
		if k.warden != nil {
			k.warden.Applied(c)
		}
	}
}

// same holds each keeper's ledger against what the log comes to.
func (w *world) same() {
	view := func(l *StateMachine) string {
		c := *l
		c.Format = 0 // so that contents are in it
		return string(c.Snapshot())
	}
	for i, k := range w.keepers {
		if w.apply(k, len(w.log)); w.broken == "" && view(k.ledger) != view(w.truth) {
			w.broken = fmt.Sprintf("keeper %d has %d versions of %d, %d announced, and the log comes to %d of %d", i, len(k.ledger.Versions), k.ledger.InForce, k.ledger.Announced,
				len(w.truth.Versions), w.truth.Announced)
		}
	}
}

// elect has another keeper lead. The one before may not know.
func (w *world) elect() {
	if old := w.leader; old != nil {
		for _, e := range slices.Clone(old.out) {
			if w.rand.IntN(2) == 0 {
				w.commit(old, e)
			}
		}
		old.out = nil
		if !w.chance(w.mood.firm) {
			old.warden = nil
		} else {
			for _, h := range w.hosts { // some are on its side of the cut
				if w.rand.IntN(3) == 0 {
					h.only = old
				}
			}
		}
	}
	if w.flaws.Has(lostLog) && len(w.log) > w.first+1 && w.rand.IntN(4) == 0 {
		w.log = w.log[:len(w.log)-1]
		w.truth = NewStateMachine()
		for _, e := range w.log {
			w.truth.Apply(e.read())
		}
		for _, k := range w.keepers {
			k.ledger, k.applied, k.warden = NewStateMachine(), 0, nil
		}
	}
	w.term++
	k := w.keepers[w.rand.IntN(len(w.keepers))]
	w.leader = k
	k.warden, k.term = nil, w.term
	w.apply(k, len(w.log))
	k.warden = NewManager(k.at(w.now), w.term, k.ledger, w.flaws)
	k.warden.retain = w.retain
}

// decide has a keeper that believes that it leads do what is due.
func (w *world) decide(k *keeper) {
	if k.warden == nil {
		return
	}
	if k == w.leader {
		w.apply(k, len(w.log))
	}
	if c := k.warden.NextCommand(k.at(w.now)); c != nil && k == w.leader {
		e := w.put(k, c)
		w.post(max(w.delay(), 0)/4, func() { w.commit(k, e) })
	}
}

func (w *world) propose() {
	k := w.leader
	p := &Proposal{ID: strconv.Itoa(w.count), Parent: k.ledger.Announced, ReplacePending: w.rand.IntN(2) == 0, Content: pool[w.rand.IntN(len(pool))]}
	if !w.mood.floors && len(p.Content) > 20 {
		p.Content = bare[w.rand.IntN(len(bare))]
	}
	w.count++
	e := w.put(k, &Command{Propose: p})
	w.post(max(w.delay(), 0)/4, func() { w.commit(k, e) })
}

// ask has a gateway ask a keeper that believes that it leads.
func (w *world) ask(h *host) {
	if h.stopped {
		return
	}
	k := w.leader
	if other := w.keepers[w.rand.IntN(len(w.keepers))]; other.warden != nil {
		k = other
	}
	if h.only != nil && h.only.warden != nil {
		k = h.only
	}
	f, a := h.f, h.f.NextRequest(h.at(w.now))
	if h.before {
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
				if k.warden == nil || k.term != term || !sure && !w.flaws.Has(noConfirm) {
					return
				}
				if sure {
					w.apply(k, upTo)
				}
				g := k.warden.Renew(k.at(w.now), a)
				if back := w.delay(); back >= 0 {
					w.post(back, func() { w.hear(h, f, g) })
				}
			})
		})
	})
}

func (w *world) hear(h *host, f *Client, g *RenewResponse) {
	switch {
	case h.f != f: // that start of it is over
	case h.stopped:
		w.post(lease/10, func() { w.hear(h, f, g) })
	default:
		w.fetch(h, f, g)
	}
}

// step does one thing.
func (w *world) step() {
	w.steps++
	h := w.hosts[w.rand.IntN(len(w.hosts))]
	m := &w.mood
	switch {
	case w.calm:
		w.pass()
	case w.chance(m.elections):
		w.elect()
	case w.chance(m.cuts):
		switch w.rand.IntN(4) {
		case 0:
			h.stopped = !h.stopped
		case 1:
			h.only = w.keepers[w.rand.IntN(len(w.keepers))]
		default:
			h.cut = !h.cut
		}
	case w.chance(m.restarts):
		w.start(h)
		h.stopped = false
	case w.flaws.Has(wallClock) && w.chance(0.05):
		h.off -= w.rand.Int64N(4 * lease)
	case w.chance(0.08):
		w.propose()
	case w.chance(0.05):
		w.ask(h)
	case w.chance(0.05 * (1 - m.firm)):
		for _, k := range w.keepers {
			if k != w.leader {
				k.warden = nil
			}
		}
	default:
		w.pass()
	}
	for _, k := range w.keepers {
		w.decide(k)
	}
	for _, h := range w.hosts {
		if !h.stopped && h.f.NextRequestAt(h.at(w.now)) <= h.at(w.now) {
			w.ask(h)
		}
	}
	w.check()
}

// pass lets time go by, up to the next message.
func (w *world) pass() {
	if len(w.mail) > 0 && (w.calm || w.chance(0.8)) && w.mail[0].at <= w.now+w.mood.pace {
		m := w.mail[0]
		w.mail = w.mail[1:]
		w.now = max(w.now, m.at)
		m.what()
		return
	}
	w.now += w.rand.Int64N(w.mood.pace)
}

// check holds each gateway's rules against those in force by the log.
func (w *world) check() {
	var inForce *configversion.Config
	if v := w.truth.Version(w.truth.InForce); v != nil {
		inForce, _ = v.Config()
	}
	for i, h := range w.hosts {
		if h.stopped {
			continue
		}
		effect := h.f.Effective(h.at(w.now))
		if effect == nil {
			continue
		}
		if numbers, _ := h.f.HeldVersions(); w.flaws&^FaultForgetHeldVersions == 0 && slices.ContainsFunc(numbers, func(n uint64) bool { return w.truth.Version(n) == nil }) {
			w.broken = fmt.Sprintf("at step %d gateway %d acts on %s, and of %v some are forgotten", w.steps, i, h.f.EffectiveName(), numbers)
			return
		}
		key := fit{effect, w.truth.InForce}
		if w.fits[key] {
			continue
		}
		if inForce == nil {
			w.broken = fmt.Sprintf("gateway %d acts on %s, and nothing is in force", i, h.f.EffectiveName())
			return
		}
		if list := configversion.Exceeds(effect, inForce); len(list) > 0 {
			w.broken = fmt.Sprintf("at step %d gateway %d acts on %s, in force is %d: %v", w.steps, i, h.f.EffectiveName(), w.truth.InForce, list)
			return
		}
		w.fits[key] = true
	}
	for _, v := range w.acked {
		digest := w.history[v.Number]
		if o := w.truth.Version(v.Number); o != nil {
			digest = o.Digest
		}
		if digest != v.Digest {
			w.broken = fmt.Sprintf("version %s was acknowledged and is lost", v.Name())
		}
	}
}

// run plays a run of so many steps, then heals all and sees that the newest version comes into force within the stated time.
func run(seed uint64, flaws InjectedFaults, steps int) (w *world) {
	w = newWorld(seed, flaws)
	for w.steps < steps && w.broken == "" {
		w.step()
	}
	if w.broken == "" {
		w.same()
	}
	if w.broken != "" || flaws&^FaultForgetNothing != 0 || seed%8 != 0 { // healing takes most of the time
		return w
	}
	w.calm = true
	for _, h := range w.hosts {
		h.stopped, h.cut, h.only = false, false, nil
	}
	for _, k := range w.keepers {
		if k != w.leader {
			k.warden = nil
		}
	}
	w.apply(w.leader, len(w.log))
	w.commit(w.leader, w.put(w.leader, &Command{Propose: &Proposal{ID: "last", Parent: w.truth.Announced, ReplacePending: true, Content: pool[0]}}))
	last, began := w.truth.Announced, w.now
	floors := testTerms.longer(testTerms.longer(w.truth.longest()))
	stated := testTerms.longer(testTerms.longer(lease)) + 10*lease // and the messages that were under way before
	for w.truth.InForce < last && w.broken == "" && w.now < began+stated+floors {
		w.step()
	}
	if w.broken == "" && w.truth.InForce != last {
		w.broken = fmt.Sprintf("version %d is not in force %d ms after all has healed: %v", last, (w.now-began)/1e6,
			w.leader.warden.WaitingFor(w.leader.at(w.now)))
	}
	most := w.retain.bases + w.retain.batch + 1 // as only the newest is acted on now, and it and fewer than a batch stay beside the bases
	for began = w.now; w.retain.on && len(w.truth.Versions) > most && w.broken == ""; w.step() {
		if w.now > began+stated+floors {
			w.broken = fmt.Sprintf("%d versions are kept, %d at most would do", len(w.truth.Versions), most)
		}
	}
	if w.broken == "" {
		w.same()
	}
	return w
}

// runs plays many and returns the first seed that breaks, with what; 0: none.
func runs(from, count uint64, flaws InjectedFaults, steps int) (seed uint64, why string, total int64) {
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
				w := run(n, flaws, steps)
				all.Add(int64(w.steps))
				if w.broken != "" {
					lock.Lock()
					if seed == 0 || n < seed {
						seed, why = n, w.broken
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
	seed, why, steps := runs(0, count, 0, 200)
	if seed > 0 {
		t.Fatalf("seed %d: %s", seed, why)
	}
	t.Logf("%d runs, %d steps", count, steps)
}

// Each defect has to be found, or nothing would be shown by finding none.
func TestDefectsAreFound(t *testing.T) {
	for name, flaw := range map[string]InjectedFaults{ // that an ask is from before the term has a test of its own
		"lease from receipt": FaultLeaseFromReceipt, "no wait": FaultNoWait, "no meet": FaultNoIntersection, "a new leader knows nobody": FaultNewLeaderAssumesNoLeases,
		"floors not waited for": FaultIgnoreFallbacks, "no drift": FaultIgnoreClockDrift, "grants in any order": FaultAcceptReordered, "leases beside the log": FaultLeaseWithoutJoin,
		"no leases": FaultNoLeaseExpiry, "no confirmation": noConfirm, "wall clock": wallClock, "log lost": lostLog,
		"digest not checked": noDigest, "an old spool acted on": oldSpool,
		"a base dropped while a floor rests on it": FaultForgetHeldVersions, "none forgotten": FaultForgetNothing, "no snapshot after a compaction": noSnapshot} {
		seed, why, _ := runs(0, 20000, flaw, 200)
		if seed == 0 {
			t.Errorf("%s: not found", name)
			continue
		}
		t.Logf("%-40s run %5d: %s", name, seed, why)
	}
}

// What a leading keeper makes of asks that do not say what they seem to.
func TestAsksThatMislead(t *testing.T) {
	at := func(owner string, floor Time) []byte {
		r, _ := configversion.Parse(pool[0])
		r.FallbackPolicy = configversion.FallbackPolicy{Duration: floor, LimitFraction: 1}
		r.Nodes = map[string]configversion.Node{owner: {}, "z": {Shard: 1}}
		return r.Canonical()
	}
	lead := func(flaw InjectedFaults, versions ...[]byte) *Manager {
		l := NewStateMachine()
		l.Apply(&Command{Bootstrap: &testTerms})
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
		w := lead(flaw, at("a", 100*lease), at("b", 100*lease), at("a", 100*lease), at("a", 100*lease))
		w.ledger.Announced = 3
		w.Renew(0, &RenewRequest{Holder: "g", Seq: 3, Term: 2, HeldVersions: []uint64{1}}) // by now it is on the floor of the second
		w.ledger.Announced = 4
		c := w.NextCommand(10 * lease)
		if forced := c != nil && c.Activate == 4; forced != (flaw == FaultTrustEarlierTerms) {
			t.Errorf("flaws %b: %+v, %v", flaw, c, w.WaitingFor(10*lease))
		}
	}
	// A gateway that is heard and does not hear asks on for ever; one that cannot read the version says so, and is waited for.
	for _, trouble := range []string{"", "it cannot be read"} {
		w, forced := lead(0, at("a", 0), at("b", 0)), Time(0)
		for now := Time(0); now < 10*lease && forced == 0; now += lease / 5 {
			w.Renew(now, &RenewRequest{Holder: "g", Seq: 1 + uint64(now), Term: 7, HeldVersions: []uint64{1}, Fault: trouble})
			if c := w.NextCommand(now); c != nil && c.Activate == 2 {
				forced = now
			}
		}
		if bound := 2*testTerms.longer(lease) + lease/2; (forced == 0) != (trouble != "") || forced > bound || len(w.holders["g"].granted) > 1 {
			t.Errorf("trouble %q: in force after %d ms, %d grants kept", trouble, forced/1e6, len(w.holders["g"].granted))
		}
	}
}
