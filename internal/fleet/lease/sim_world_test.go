package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"

	"irispost/internal/fleet/configversion"
)

// The simulation consists of replicas that share one log, one of which leads while others may still believe that they
// do; gateways; a network that delays, loses and reorders messages; and clocks that drift up to the limit in the
// settings. All randomness comes from the run's seed, so a change to the order of random draws changes all runs.

// Faults of the simulated environment, in addition to the faults in the code.
const (
	faultUnconfirmedLeader InjectedFaults = 1 << (iota + 20) // a replica answers without confirming its leadership
	faultWallClock                                           // gateways use a clock that is set back at times
	faultLostLog                                             // a new leader lacks an entry committed earlier
	faultSkipSnapshot                                        // a replica skips the snapshot after a compaction
	faultUncheckedDigest                                     // contents from replicas and from disk are used unchecked
	faultStaleDisk                                           // content on disk is used for any digest
)

type world struct {
	rand       *rand.Rand
	faults     InjectedFaults
	conditions conditions
	now        Time // true time
	steps      int
	healed     bool // no more messages are lost or slow

	messages      []message // sorted by delivery time
	scheduleCount int

	log           []*logEntry
	firstIndex    int    // entries before this index were compacted
	snapshot      []byte // replaces the compacted entries
	encodeEntries bool   // whether log entries and snapshots are encoded and decoded

	replicas  []*replica
	leader    *replica
	term      uint64
	retention retention

	gateways   []*gateway
	startCount int // number of gateway starts so far

	committed    *StateMachine             // state that results from the log
	acknowledged []*configversion.Version  // versions whose proposals were acknowledged
	forgotten    map[uint64]string         // digests of forgotten versions, by number
	compatible   map[compatibilityKey]bool // pairs already found compatible
	violation    string                    // the violation found; empty: none
}

// conditions are a run's probabilities and limits. They are drawn per run, so that rare events coincide in some runs.
type conditions struct {
	loss         float64 // fraction of messages that are lost
	slow         float64 // fraction of messages that are slow
	maxDelay     Time
	elections    float64 // probability per step
	faultToggles float64 // probability per step that a gateway's network or process fault is toggled
	restarts     float64 // probability per step
	staleLeaders float64 // fraction of former leaders that still believe that they lead
	fallbacks    bool
	extremeDrift bool // all clocks drift at the limit in the settings
	maxStep      Time
}

type message struct {
	at      Time
	deliver func()
}

type clock struct {
	rate   float64
	offset Time
}

func (c clock) at(now Time) Time { return c.offset + Time(float64(now)*c.rate) }

func newWorld(seed uint64, faults InjectedFaults) *world {
	w := &world{
		rand:          rand.New(rand.NewPCG(seed, 1)),
		faults:        faults,
		committed:     NewStateMachine(),
		compatible:    map[compatibilityKey]bool{},
		forgotten:     map[uint64]string{},
		encodeEntries: seed%16 == 1,
		retention:     retention{enabled: seed%5 != 4, baseVersions: int(seed % 3), batchSize: 1 + int(seed/3%2)},
	}
	w.conditions = conditions{
		loss:         w.pick(0, 0.1, 0.4),
		slow:         w.pick(0, 0.1, 0.5),
		maxDelay:     Time(w.pick(0.1, 0.5, 2, 6) * float64(leaseDuration)),
		elections:    w.pick(0.002, 0.02, 0.05),
		faultToggles: w.pick(0, 0.02, 0.08),
		restarts:     w.pick(0, 0.01, 0.03),
		staleLeaders: w.pick(0.2, 0.9),
		fallbacks:    w.chance(0.5),
		extremeDrift: w.chance(0.5),
		maxStep:      Time(w.pick(0.05, 0.1, 0.3) * float64(leaseDuration)),
	}
	for range 3 {
		w.replicas = append(w.replicas, &replica{clock: w.newClock(), state: NewStateMachine()})
	}
	for range 2 + w.rand.IntN(3) {
		g := &gateway{clock: w.newClock(), fullVersions: w.chance(0.3)}
		w.gateways = append(w.gateways, g)
		w.startGateway(g)
	}
	w.log = append(w.log, &logEntry{command: &Command{Bootstrap: &testSettings}})
	mustApply(w.committed, w.log[0].command)
	w.elect()
	return w
}

// mustApply applies a command that cannot fail.
func mustApply(state *StateMachine, c *Command) {
	if _, err := state.Apply(c); err != nil {
		panic(err)
	}
}

func (w *world) chance(probability float64) bool { return w.rand.Float64() < probability }

func (w *world) pick(list ...float64) float64 { return list[w.rand.IntN(len(list))] }

func (w *world) newClock() clock {
	drift := 2*w.rand.Float64() - 1
	if w.conditions.extremeDrift {
		drift = w.pick(-1, 1)
	}
	return clock{rate: 1 + testSettings.MaxClockDrift*drift, offset: w.rand.Int64N(leaseDuration * 100)}
}

// schedule schedules a function to be called after a delay.
func (w *world) schedule(delay Time, deliver func()) {
	w.scheduleCount++
	at := w.now + delay
	i := sort.Search(len(w.messages), func(i int) bool { return w.messages[i].at > at })
	w.messages = slices.Insert(w.messages, i, message{at, deliver})
}

// delay draws the delay of a message. A negative delay means that the message is lost.
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

// step triggers one random event, runs everything that is due and checks the invariants.
func (w *world) step() {
	w.steps++
	w.triggerEvent(w.gateways[w.rand.IntN(len(w.gateways))])
	for _, r := range w.replicas {
		w.runManager(r)
	}
	for _, g := range w.gateways {
		if !g.stopped && g.client.NextRequestAt(g.at(w.now)) <= g.at(w.now) {
			w.sendRequest(g)
		}
	}
	w.check()
}

// triggerEvent triggers one random event. Events that affect a gateway affect g.
func (w *world) triggerEvent(g *gateway) {
	switch {
	case w.healed:
		w.advance()
	case w.chance(w.conditions.elections):
		w.elect()
	case w.chance(w.conditions.faultToggles):
		w.toggleFault(g)
	case w.chance(w.conditions.restarts):
		w.startGateway(g)
		g.stopped = false
	case w.faults.Has(faultWallClock) && w.chance(0.05):
		g.offset -= w.rand.Int64N(4 * leaseDuration)
	case w.chance(0.08):
		w.propose()
	case w.chance(0.05):
		w.sendRequest(g)
	case w.chance(0.05 * (1 - w.conditions.staleLeaders)):
		w.stopEarlierLeaders()
	default:
		w.advance()
	}
}

// toggleFault stops or resumes a gateway, disconnects or reconnects it, or limits it to one replica.
func (w *world) toggleFault(g *gateway) {
	switch w.rand.IntN(4) {
	case 0:
		g.stopped = !g.stopped
	case 1:
		g.onlyReplica = w.replicas[w.rand.IntN(len(w.replicas))]
	default:
		g.disconnected = !g.disconnected
	}
}

// advance advances the time, either to the next message, which it delivers, or by a random amount.
func (w *world) advance() {
	if len(w.messages) > 0 && (w.healed || w.chance(0.8)) && w.messages[0].at <= w.now+w.conditions.maxStep {
		next := w.messages[0]
		w.messages = w.messages[1:]
		w.now = max(w.now, next.at)
		next.deliver()
		return
	}
	w.now += w.rand.Int64N(w.conditions.maxStep)
}

// compatibilityKey identifies an effective configuration that does not exceed the version in force.
type compatibilityKey struct {
	effective *configversion.Config
	inForce   uint64
}

// check compares the configuration in effect at each gateway with the version in force, and checks that no
// acknowledged version is lost.
func (w *world) check() {
	var inForce *configversion.Config
	if v := w.committed.Version(w.committed.InForce); v != nil {
		inForce, _ = v.Config() // nil if no build can read it
	}
	for i, g := range w.gateways {
		if violation := w.checkGateway(g, inForce); violation != "" {
			w.violation = fmt.Sprintf("step %d: gateway %d %s", w.steps, i, violation)
			return
		}
	}
	for _, v := range w.acknowledged {
		digest := w.forgotten[v.Number]
		if kept := w.committed.Version(v.Number); kept != nil {
			digest = kept.Digest
		}
		if digest != v.Digest {
			w.violation = fmt.Sprintf("version %s was acknowledged but is lost", v.Name())
		}
	}
}

func (w *world) checkGateway(g *gateway, inForce *configversion.Config) string {
	if g.stopped {
		return ""
	}
	effective := g.client.Effective(g.at(w.now))
	if effective == nil {
		return ""
	}
	held, _ := g.client.HeldVersions()
	if w.faults&^FaultForgetHeldVersions == 0 && lacksVersion(w.committed, held) {
		return fmt.Sprintf("has %s in effect, but of the held versions %v some are forgotten",
			g.client.EffectiveName(), held)
	}
	key := compatibilityKey{effective, w.committed.InForce}
	if w.compatible[key] {
		return ""
	}
	if inForce == nil {
		return fmt.Sprintf("has %s in effect, but no readable version is in force", g.client.EffectiveName())
	}
	if list := configversion.Exceeds(effective, inForce); len(list) > 0 {
		return fmt.Sprintf("has %s in effect, which exceeds version %d in force: %v",
			g.client.EffectiveName(), w.committed.InForce, list)
	}
	w.compatible[key] = true
	return ""
}

// lacksVersion reports whether a state does not have one of the given versions.
func lacksVersion(state *StateMachine, numbers []uint64) bool {
	return slices.ContainsFunc(numbers, func(number uint64) bool { return state.Version(number) == nil })
}

// proposal draws a proposal based on the latest version in the leader's state.
func (w *world) proposal() *Proposal {
	p := &Proposal{
		ID:             strconv.Itoa(w.scheduleCount),
		Parent:         w.leader.state.Announced,
		ReplacePending: w.rand.IntN(2) == 0,
		Content:        configPool[w.rand.IntN(len(configPool))],
	}
	if !w.conditions.fallbacks && len(p.Content) > 20 {
		p.Content = configPoolWithoutFallbacks[w.rand.IntN(len(configPoolWithoutFallbacks))]
	}
	w.scheduleCount++
	return p
}
