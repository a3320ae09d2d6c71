package slowstart

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"

	"irispost/internal/fleet/slowstart/agent"
	"irispost/internal/fleet/slowstart/budget"
	"irispost/scheduler"
)

// inFlightAttempt is an attempt that the node has not finished.
type inFlightAttempt struct {
	gateway int
	attempt *scheduler.Attempt
	doneAt  scheduler.Time
}

type windowSend struct {
	at    scheduler.Time
	units float64
}

// firstSeconds simulates the seconds around a node's start.
type firstSeconds struct {
	mode      dispatchMode
	load      float64 // offered load as a fraction of the node's full rate
	random    *rand.Rand
	now       scheduler.Time
	startedAt scheduler.Time // start of the node
	end       scheduler.Time // of the offered load

	schedulers []*scheduler.Scheduler
	validUntil []scheduler.Time // end of the allocation, by gateway
	seq        []uint64
	settings   budget.Settings
	allocator  *budget.Allocator // nil until the node starts

	requests      int // number of requests so far; used as their IDs
	inFlight      []inFlightAttempt
	coldBusyUntil scheduler.Time
	warmBusyUntil scheduler.Time
	paced         pacerQueue
	window        []windowSend
	outcome       outcome
}

// simulateFirstSeconds simulates the seconds around a node's start, and returns the outcome of requests received after
// it.
func simulateFirstSeconds(gateways int, load float64, mode dispatchMode, seed uint64) outcome {
	now := 100 * scheduler.Second
	settings := fleetSettings(gateways)
	f := &firstSeconds{
		mode: mode, load: load, random: rand.New(rand.NewPCG(seed, 3)),
		now: now, startedAt: now + scheduler.Second, end: now + scheduler.Second + measuredTime,
		validUntil: make([]scheduler.Time, gateways), seq: make([]uint64, gateways),
		settings:      agent.SettingsFrom(settings, 0.01),
		coldBusyUntil: now, warmBusyUntil: now,
	}
	for i := range gateways {
		s := scheduler.New(now, seed*1000+uint64(i), settings)
		s.BeginEndpointList(now, true, false)
		s.UpdateEndpoint(coldNode, "z", 0, 0, scheduler.EndpointReady)
		s.UpdateEndpoint(warmNode, "z", 1, 0, scheduler.EndpointReady)
		s.FinishEndpointList()
		f.schedulers = append(f.schedulers, s)
	}
	for ; f.now < f.end+scheduler.Second; f.now += tick {
		f.step()
	}
	return f.outcome
}

func (f *firstSeconds) step() {
	if f.now == f.startedAt {
		f.startNode()
	}
	f.offerRequests()
	if f.mode == withPacer {
		f.pace()
		return
	}
	f.offerOtherRequests()
	if f.mode == withAllocator && f.now >= f.startedAt {
		f.allocate()
	}
	f.finishAttempts()
	f.dispatch()
	f.measureWindow()
}

// startNode informs all gateways of the node's start and creates the allocator.
func (f *firstSeconds) startNode() {
	for _, s := range f.schedulers {
		s.BeginEndpointList(f.now, false, false)
		s.UpdateEndpoint(coldNode, "z", 0, f.startedAt, scheduler.EndpointReady)
		s.FinishEndpointList()
	}
	f.allocator = budget.NewAllocator(f.now, f.settings, 0, nodeRate, 0)
}

// rateAt returns the rate of the node in slow start at the given time, in units per second.
func (f *firstSeconds) rateAt(at scheduler.Time) float64 {
	if at < f.startedAt {
		return nodeRate
	}
	return nodeRate * (initialFraction + (1-initialFraction)*float64(at-f.startedAt)/float64(warmupTime))
}

// offerRequests generates random requests of one tick for the node in slow start.
func (f *firstSeconds) offerRequests() {
	expected := f.load * nodeRate / requestUnits * float64(tick) / 1e9
	for ; expected > 0 && f.now < f.end; expected-- {
		if f.random.Float64() >= expected {
			break
		}
		f.requests++
		f.offerRequest()
	}
}

func (f *firstSeconds) offerRequest() {
	volume := int64(f.random.IntN(volumes))
	weight := []float64{1, 4}[volume%2]
	counted := 0.0
	if f.now >= f.startedAt {
		counted = weight
	}
	f.outcome.offered += counted
	if f.mode == withPacer {
		heap.Push(&f.paced, &pacedRequest{counted, requestUnits, f.now})
		return
	}
	gateway := (int(volume)*7 + f.random.IntN(hostsPerVolume)) % len(f.schedulers)
	f.submit(gateway, 0, volume, fmt.Sprintf("p%.0f", weight))
}

// offerOtherRequests generates a few random requests for the warm node, so that its rate is known.
func (f *firstSeconds) offerOtherRequests() {
	for range len(f.schedulers) / 4 {
		if f.random.Float64() < 0.02 {
			f.requests++
			gateway := f.random.IntN(len(f.schedulers))
			f.submit(gateway, 1, int64(100+gateway%10), "p1")
		}
	}
}

func (f *firstSeconds) submit(gateway, shard int, volume int64, level string) {
	request := &scheduler.Request{
		ID: strconv.Itoa(f.requests), Units: requestUnits, Shard: shard, Deadline: f.now + clientTimeout,
	}
	f.schedulers[gateway].Submit(f.now, request, volume, level, "read", hostsPerVolume, false)
}

// pace serves requests of the pacer, up to the rate of the node in one tick.
func (f *firstSeconds) pace() {
	f.coldBusyUntil = max(f.coldBusyUntil, f.now)
	for len(f.paced) > 0 && f.coldBusyUntil < f.now+tick {
		request := heap.Pop(&f.paced).(*pacedRequest)
		done := f.coldBusyUntil + scheduler.Time(request.units/f.rateAt(f.coldBusyUntil)*1e9)
		if done <= request.at+objective {
			f.coldBusyUntil = done
			f.outcome.served += request.weight
		}
	}
}

// allocate makes a fifth of the gateways in each tick request allocations, and serves the requests.
func (f *firstSeconds) allocate() {
	for gateway := range f.schedulers {
		if f.now%pollInterval == scheduler.Time(gateway%5)*tick {
			f.poll(gateway)
		}
	}
	for _, allocation := range f.allocator.Allocate(f.now) {
		gateway, err := strconv.Atoi(allocation.Holder)
		if err != nil {
			panic(err) // poll passes only numbers
		}
		f.setAllocation(gateway, allocation.Units)
	}
}

// poll makes a gateway request an allocation for its waiting requests.
func (f *firstSeconds) poll(gateway int) {
	holder, until := strconv.Itoa(gateway), f.now+f.settings.AllocationTime
	demands, _ := f.schedulers[gateway].SlowStartDemands(f.now)
	if len(demands) == 0 || demands[0].Units <= 0 {
		f.allocator.CancelRequest(holder)
		if f.now >= f.validUntil[gateway] { // new requests wait for an allocation
			f.validUntil[gateway] = until
			f.setAllocation(gateway, 0)
		}
		return
	}
	f.validUntil[gateway] = until
	returned := f.setAllocation(gateway, 0)
	f.seq[gateway]++
	f.outcome.requests++
	f.allocator.HandleRequest(f.now, &budget.Request{
		Holder: holder, Seq: f.seq[gateway], Demand: demands[0].Units, SmallestRequest: demands[0].SmallestRequest,
		PriorityWeight: demands[0].PriorityWeight, Returned: returned,
	})
}

func (f *firstSeconds) setAllocation(gateway int, units float64) (returned float64) {
	return f.schedulers[gateway].AllocateSlowStart(f.now, coldNode, f.startedAt, units, f.validUntil[gateway])
}

// finishAttempts reports finished attempts to the schedulers.
func (f *firstSeconds) finishAttempts() {
	remaining := f.inFlight[:0]
	for _, a := range f.inFlight {
		if a.doneAt > f.now {
			remaining = append(remaining, a)
			continue
		}
		request := a.attempt.Request
		took := f.now - a.attempt.SentAt
		f.schedulers[a.gateway].AttemptFinished(f.now, request.ID, a.attempt.Number, scheduler.OutcomeServed, took, true, 0)
		isCounted := request.Shard == 0 && request.ReceivedAt >= f.startedAt
		if isCounted && f.now <= request.ReceivedAt+objective {
			f.outcome.served += request.Volume.ServiceLevel.Weight
		}
	}
	f.inFlight = remaining
}

// dispatch sends the attempts that the schedulers decide on.
func (f *firstSeconds) dispatch() {
	for gateway, s := range f.schedulers {
		for _, a := range s.Decide(f.now).Dispatch {
			done := f.serve(a)
			f.inFlight = append(f.inFlight, inFlightAttempt{gateway, a, done})
		}
	}
}

// serve returns when an attempt sent now will be finished.
func (f *firstSeconds) serve(a *scheduler.Attempt) scheduler.Time {
	units := a.Request.Units
	if a.Node.Addr == warmNode {
		f.warmBusyUntil = max(f.warmBusyUntil, f.now) + scheduler.Time(units/(warmNodeParallel*nodeRate)*1e9)
		return max(f.warmBusyUntil, f.now+scheduler.Time(units/nodeRate*1e9))
	}
	start := max(f.coldBusyUntil, f.now)
	f.coldBusyUntil = start + scheduler.Time(units/f.rateAt(start)*1e9)
	if f.now >= f.startedAt {
		f.window = append(f.window, windowSend{f.now, units})
	}
	return f.coldBusyUntil
}

// measureWindow compares the units sent in the last window with the node's capacity at the beginning of that window.
func (f *firstSeconds) measureWindow() {
	begin := f.now - overloadWindow
	for len(f.window) > 0 && f.window[0].at <= begin {
		f.window = f.window[1:]
	}
	sent := 0.0
	for _, send := range f.window {
		sent += send.units
	}
	windowSeconds := float64(overloadWindow) / float64(scheduler.Second)
	capacity := max(overloadMultiple*f.rateAt(max(begin, f.startedAt))*windowSeconds, minWindowUnits)
	f.outcome.peakShare = max(f.outcome.peakShare, sent/capacity)
}
