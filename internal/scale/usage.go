package scale

import (
	"fmt"
	"os"
	"runtime"
	"time"

	"irispost/internal/scale/meter"
)

const (
	bytesPerMB = 1e6

	// idleSettling is how many times the wait before the measurement at rest fits into it: what the start has left to
	// do is over then.
	idleSettling = 4
)

// idleSample is what was used by a moment of the measurement at rest.
type idleSample struct {
	process  meter.Usage // of this process, with all gateways
	replicas []meter.Usage
}

func (f *Fleet) sampleUsage() (sample idleSample, err error) {
	if sample.process, err = meter.ProcessUsage(os.Getpid()); err != nil {
		return sample, err
	}
	sample.replicas, err = f.replicaUsage()
	return sample, err
}

// measureIdle adds to the result what the fleet uses while nothing happens.
func (f *Fleet) measureIdle(result *Result) error {
	time.Sleep(f.Size.IdleTime / idleSettling)
	before, err := f.sampleUsage()
	if err != nil {
		return err
	}
	bytes, startedAt := f.traffic.Total(), time.Now()
	time.Sleep(f.Size.IdleTime)
	seconds := time.Since(startedAt).Seconds()
	after, err := f.sampleUsage()
	if err != nil {
		return err
	}
	leader, _, err := f.leader()
	if err != nil {
		return err
	}
	gateways := float64(len(f.Gateways))
	result.Figures["rest_bytes_s"] = float64(f.traffic.Total()-bytes) / seconds / gateways
	result.Figures["rest_gateway_core"] = (after.process.CPU - before.process.CPU).Seconds() / seconds / gateways
	result.Figures["rest_gateway_mb"] = after.process.MB / gateways
	for i, replica := range f.replicas {
		role := "other_keeper"
		if replica == leader {
			role = "leader"
		}
		result.Figures["rest_"+role+"_core"] = (after.replicas[i].CPU - before.replicas[i].CPU).Seconds() / seconds
		result.Figures["rest_"+role+"_mb"] = after.replicas[i].MB
	}
	return nil
}

// measureMemory adds to the result, in MB, what each replica's process and folder holds, and the live heap of all
// gateways together.
func (f *Fleet) measureMemory(result *Result) error {
	usage, err := f.replicaUsage()
	if err != nil {
		return err
	}
	for i, replica := range f.replicas {
		folder, err := meter.DirSize(replica.dir)
		if err != nil {
			return err
		}
		name := "keeper " + string(rune('0'+replica.number)) // a digit
		result.addMemory(name, usage[i].MB)
		result.addMemory(name+", folder", float64(folder)/bytesPerMB)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	result.addMemory("gateways", float64(memory.HeapAlloc)/bytesPerMB)
	return nil
}

func (r *Result) addMemory(what string, mb float64) {
	r.MemoryByPhase[what] = append(r.MemoryByPhase[what], mb)
}

// What may grow over a run in which nothing should: a factor over the first phase, and what a garbage collector
// leaves.
const (
	growthFactor  = 1.3
	growthSlackMB = 8.0
	minimumPhases = 3
)

// growthViolation tells whether something grows with the number of changes, by what it was after each phase of a run,
// in MB; "": it does not.
func growthViolation(what string, phases []float64) string {
	if len(phases) < minimumPhases {
		return fmt.Sprintf("%s: weighed %d times, too few to tell", what, len(phases))
	}
	early, late := phases[0], phases[len(phases)-1]
	if late <= early*growthFactor+growthSlackMB {
		return ""
	}
	return fmt.Sprintf("%s grows with the changes made: %.1f MB after the first of %d parts of the run, %.1f MB at its end",
		what, early, len(phases), late)
}
