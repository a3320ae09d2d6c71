package fleetbench

import (
	"encoding/json"
	"time"

	"irispost/internal/scale/meter"
)

// Figures are the results of Run. Bytes are payload at the sockets, in both directions unless the comment says sent.
// CPU usage is in cores, MB are millions of bytes, and times are milliseconds. Times of changes start at the proposal.
type Figures struct {
	Followers    int                `json:"followers"`
	Nodes        int                `json:"nodes"`
	Changes      int                `json:"changes"`
	Kinds        map[ChangeKind]int `json:"changes_by_kind"`
	VersionBytes int                `json:"version_bytes"` // the first version's content

	FirstStartMillis float64 `json:"first_start_ms"` // from starting all gateways until all act on the version
	RestartMillis    float64 `json:"again_ms"`       // the same when all are restarted

	// Per gateway: the mean over all gateways, unless the comment says otherwise.
	IdleBytesPerSecond        float64 `json:"rest_bytes_s"`
	ChangeBytes               float64 `json:"change_bytes"`       // per change, minus idle: median of gateways, changes
	ChangeBytesMean           float64 `json:"change_bytes_mean"`  // the same, mean
	ChangeBytesWorst          float64 `json:"change_bytes_worst"` // the same, worst
	BytesPerSecondWithChanges float64 `json:"day_bytes_s"`        // idle traffic plus 950 mean changes a day
	FollowerCPU               float64 `json:"follower_core"`      // idle
	FollowerCPUWithChanges    float64 `json:"follower_core_day"`  // with 950 changes a day
	FollowerMB                float64 `json:"follower_mb"`        // at the end, after a forced garbage collection
	FollowerMBBeforeGC        float64 `json:"follower_mb_as_is"`  // the same, before that collection

	// A change is in force once all gateways act on its version alone. InForceWhileKilled and ChangesWhileKilled are of
	// the changes from the kill of the leader until it has caught up; the other times are of all other changes.
	InForce            meter.Quantiles                `json:"in_force_ms"`
	InForceByKind      map[ChangeKind]meter.Quantiles `json:"in_force_ms_by_kind"`
	InForceWhileKilled *meter.Quantiles               `json:"in_force_killed_ms,omitempty"`
	ChangesWhileKilled int                            `json:"changes_killed,omitempty"` // number of these changes
	Announced          meter.Quantiles                `json:"announced_ms"`             // until announced
	Elections          int                            `json:"elections"`                // terms since the idle phase

	UnexpectedExits int `json:"keeper_ends"` // of the restarted replica

	LeaderCPU            float64   `json:"keeper_core"`             // idle
	OtherReplicasCPU     float64   `json:"keeper_core_others"`      // idle, mean of the other replicas
	ReplicaMBStart       []float64 `json:"keeper_mb_start"`         // by replica number, before the changes
	ReplicaMB            []float64 `json:"keeper_mb"`               // by replica number, at the end
	LeaderBytesPerChange float64   `json:"leader_out_bytes_change"` // sent, idle traffic subtracted
	DirectConnections    bool      `json:"straight,omitempty"`      // bytes between replicas are not counted
}

// JSON encodes figures in the form that is written to a file.
func JSON(figures any) ([]byte, error) {
	encoded, err := json.MarshalIndent(figures, "", "  ")
	return append(encoded, '\n'), err
}

// idleUsage is the resource usage of the fleet while nothing changed.
type idleUsage struct {
	span        time.Duration
	gateways    []int64         // bytes of each gateway, in both directions
	leader      int             // replica number
	leaderBytes int64           // sent by the leader
	cpu         time.Duration   // of this process, with all gateways
	replicaCPU  []time.Duration // by replica number, from 1
}

// changeUsage is the resource usage of the fleet during one change, from the proposal until trafficSettleTime after
// all gateways acted on it alone.
type changeUsage struct {
	kind        ChangeKind
	whileKilled bool // a replica was down or catching up
	announced   time.Duration
	inForce     time.Duration
	span        time.Duration
	gateways    []int64 // bytes of each gateway, in both directions
	leader      int     // replica number; 0: none
	leaderBytes int64   // sent by the leader
	cpu         time.Duration
}

// changeSamples collects the samples of all changes. Changes while a killed replica was down are kept separately.
type changeSamples struct {
	announced     []float64 // all times are milliseconds
	inForce       []float64
	inForceByKind map[ChangeKind][]float64
	whileKilled   []float64 // inForce of the changes while a replica was down
	gatewayBytes  []float64 // per gateway and change, idle traffic subtracted
	leaderBytes   []float64 // per change, idle traffic subtracted
	cpuSeconds    float64   // mean per gateway, all changes together, idle usage subtracted
}

// fill computes the figures from the measured usage.
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

// add adds a change, minus the idle usage of a period of the same length.
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
	if change.leader == idle.leader { // idle usage was only measured for that leader
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
