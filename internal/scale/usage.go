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

	// idleSettlingDivisor is the duration of the idle measurement divided by that of the wait before it. In the wait,
	// work that the start has left finishes.
	idleSettlingDivisor = 4
)

// idleSample is the resource usage at one moment of the idle measurement.
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

// measureIdle adds the traffic and resource usage of the idle fleet to the result.
func (f *Fleet) measureIdle(result *Result) error {
	time.Sleep(f.Size.IdleTime / idleSettlingDivisor)
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

// measureMemory adds to the result, in MB, the memory and the directory size of each replica, and the live heap of
// this process, which holds all gateways.
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
		name := "keeper " + string(rune('0'+replica.number)) // numbers have a single digit
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

// Growth that is tolerated from the first phase to the last: a factor, and an amount for garbage that is not collected
// yet.
const (
	growthFactor  = 1.3
	growthSlackMB = 8.0
	minimumPhases = 3
)

// growthViolation returns a violation if a quantity, given in MB after each phase of a run, grows with the number of
// changes, or "" if it does not.
func growthViolation(what string, phases []float64) string {
	if len(phases) < minimumPhases {
		return fmt.Sprintf("%s: measured %d times, too few to detect growth", what, len(phases))
	}
	early, late := phases[0], phases[len(phases)-1]
	if late <= early*growthFactor+growthSlackMB {
		return ""
	}
	return fmt.Sprintf("%s grows with the number of changes: %.1f MB after the first of %d phases, %.1f MB at the end",
		what, early, len(phases), late)
}
