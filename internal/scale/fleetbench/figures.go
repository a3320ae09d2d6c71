package fleetbench

import (
	"encoding/json"
	"time"

	"irispost/internal/scale/meter"
)

// Figures are what was measured. Bytes are payload at the sockets, in both directions unless the comment says sent;
// cores are parts of one core; MB are millions of bytes; times are milliseconds, those of changes from their
// proposal.
type Figures struct {
	Followers    int                `json:"followers"`
	Nodes        int                `json:"nodes"`
	Changes      int                `json:"changes"`
	Kinds        map[ChangeKind]int `json:"changes_by_kind"`
	VersionBytes int                `json:"version_bytes"` // the first version's content

	FirstStartMillis float64 `json:"first_start_ms"` // from the start of all gateways until all act on the version
	RestartMillis    float64 `json:"again_ms"`       // the same, once more

	// Of the mean gateway, unless it says otherwise.
	IdleBytesPerSecond        float64 `json:"rest_bytes_s"`
	ChangeBytes               float64 `json:"change_bytes"`       // of a change, less idle: median over gateways and changes
	ChangeBytesMean           float64 `json:"change_bytes_mean"`  // the same, mean
	ChangeBytesWorst          float64 `json:"change_bytes_worst"` // the same, worst
	BytesPerSecondWithChanges float64 `json:"day_bytes_s"`        // idle, and the mean change 950 times a day
	FollowerCPU               float64 `json:"follower_core"`      // idle
	FollowerCPUWithChanges    float64 `json:"follower_core_day"`  // with 950 changes a day
	FollowerMB                float64 `json:"follower_mb"`        // at the end, after a forced collection
	FollowerMBBeforeGC        float64 `json:"follower_mb_as_is"`  // the same, before that collection

	InForce            meter.Quantiles                `json:"in_force_ms"` // until all gateways act on it alone; all replicas up
	InForceByKind      map[ChangeKind]meter.Quantiles `json:"in_force_ms_by_kind"`
	InForceWhileKilled *meter.Quantiles               `json:"in_force_killed_ms,omitempty"` // from the leader's kill until it is back
	ChangesWhileKilled int                            `json:"changes_killed,omitempty"`     // how many these are
	Announced          meter.Quantiles                `json:"announced_ms"`                 // from proposal until announced
	Elections          int                            `json:"elections"`                    // terms since the measurement at idle

	UnexpectedExits int `json:"keeper_ends"` // of a replica that was started again

	LeaderCPU            float64   `json:"keeper_core"`             // idle
	OtherReplicasCPU     float64   `json:"keeper_core_others"`      // idle, mean of the other replicas
	ReplicaMBStart       []float64 `json:"keeper_mb_start"`         // by number, before the changes
	ReplicaMB            []float64 `json:"keeper_mb"`               // by number, at the end
	LeaderBytesPerChange float64   `json:"leader_out_bytes_change"` // sent, less idle
	DirectConnections    bool      `json:"straight,omitempty"`      // no bytes between replicas are counted
}

// JSON returns figures as a file has them.
func JSON(figures any) ([]byte, error) {
	encoded, err := json.MarshalIndent(figures, "", "  ")
	return append(encoded, '\n'), err
}

// idleUsage is what the fleet used while nothing changed.
type idleUsage struct {
	span        time.Duration
	gateways    []int64         // bytes of each, in both directions
	leader      int             // number of the leader
	leaderBytes int64           // that it sent
	cpu         time.Duration   // of the process with the gateways
	replicaCPU  []time.Duration // by number from 1
}

// changeUsage is what one change used, from its proposal until a moment after all gateways acted on it alone.
type changeUsage struct {
	kind        ChangeKind
	whileKilled bool // a replica was down, or not back yet
	announced   time.Duration
	inForce     time.Duration
	span        time.Duration
	gateways    []int64 // bytes of each, in both directions
	leader      int
	leaderBytes int64
	cpu         time.Duration
}

// changeSamples collects, over changes, what the figures are made of. Those while a replica was killed count apart.
type changeSamples struct {
	announced     []float64 // milliseconds, as all times
	inForce       []float64
	inForceByKind map[ChangeKind][]float64
	whileKilled   []float64 // in force
	gatewayBytes  []float64 // of each gateway and change, less idle
	leaderBytes   []float64 // of each change, less idle
	cpuSeconds    float64   // of all changes and the mean gateway, less idle
}

// fill computes the figures from what was used.
func (f *Figures) fill(idle *idleUsage, changes []changeUsage) {
	seconds := idle.span.Seconds()
	gateways := float64(len(idle.gateways))
	f.IdleBytesPerSecond = float64(sum(idle.gateways)) / seconds / gateways
	f.FollowerCPU = idle.cpu.Seconds() / seconds / gateways
	f.fillReplicaCores(idle)
	samples := &changeSamples{inForceByKind: map[ChangeKind][]float64{}}
	f.Kinds = map[ChangeKind]int{}
	for i := range changes {
		f.Kinds[changes[i].kind]++
		samples.add(&changes[i], idle)
	}
	f.fillTimes(samples)
	bytes := meter.QuantilesOf(samples.gatewayBytes)
	f.ChangeBytes = bytes.P50
	f.ChangeBytesWorst = bytes.Worst
	f.ChangeBytesMean = mean(samples.gatewayBytes)
	f.LeaderBytesPerChange = mean(samples.leaderBytes)
	const changesPerSecond = changesPerDay / float64(24*time.Hour/time.Second)
	f.BytesPerSecondWithChanges = f.IdleBytesPerSecond + changesPerSecond*f.ChangeBytesMean
	f.FollowerCPUWithChanges = f.FollowerCPU + changesPerSecond*samples.cpuSeconds/float64(max(len(samples.inForce), 1))
}

func (f *Figures) fillReplicaCores(idle *idleUsage) {
	seconds := idle.span.Seconds()
	for i, cpu := range idle.replicaCPU {
		if i+1 == idle.leader {
			f.LeaderCPU = cpu.Seconds() / seconds
		} else {
			f.OtherReplicasCPU += cpu.Seconds() / seconds / float64(len(idle.replicaCPU)-1)
		}
	}
}

func (f *Figures) fillTimes(samples *changeSamples) {
	f.Announced = meter.QuantilesOf(samples.announced)
	f.InForce = meter.QuantilesOf(samples.inForce)
	f.InForceByKind = map[ChangeKind]meter.Quantiles{}
	for kind, times := range samples.inForceByKind {
		f.InForceByKind[kind] = meter.QuantilesOf(times)
	}
	if len(samples.whileKilled) > 0 {
		killed := meter.QuantilesOf(samples.whileKilled)
		f.InForceWhileKilled = &killed
		f.ChangesWhileKilled = len(samples.whileKilled)
	}
}

// add adds a change. As much of the idle usage as passed meanwhile is subtracted.
func (s *changeSamples) add(change *changeUsage, idle *idleUsage) {
	inForce := milliseconds(change.inForce)
	if change.whileKilled {
		s.whileKilled = append(s.whileKilled, inForce)
		return
	}
	s.announced = append(s.announced, milliseconds(change.announced))
	s.inForce = append(s.inForce, inForce)
	s.inForceByKind[change.kind] = append(s.inForceByKind[change.kind], inForce)
	idlePart := change.span.Seconds() / idle.span.Seconds()
	for i, bytes := range change.gateways {
		s.gatewayBytes = append(s.gatewayBytes, float64(bytes)-idlePart*float64(idle.gateways[i]))
	}
	if change.leader == idle.leader { // the idle usage of another leader is not known
		s.leaderBytes = append(s.leaderBytes, float64(change.leaderBytes)-idlePart*float64(idle.leaderBytes))
	}
	s.cpuSeconds += (change.cpu.Seconds() - idlePart*idle.cpu.Seconds()) / float64(len(idle.gateways))
}

func sum(list []int64) (total int64) {
	for _, n := range list {
		total += n
	}
	return total
}

func mean(list []float64) (result float64) {
	for _, value := range list {
		result += value / float64(len(list))
	}
	return result
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
