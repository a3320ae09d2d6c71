package wire

import "irispost/scheduler"

// outcomes maps completion codes, the indexes, to the scheduler's outcomes.
var outcomes = [...]scheduler.Outcome{
	scheduler.OutcomeError,
	scheduler.OutcomeServed,
	scheduler.OutcomeOverloaded,
	scheduler.OutcomeTimeout,
	scheduler.OutcomeConnectFailed,
	scheduler.OutcomeReset,
	scheduler.OutcomeCancelled,
	scheduler.OutcomeMisdirected,
}

// Outcome reads a completion code. An unknown code is an error.
func (f *Fields) Outcome(name string) scheduler.Outcome {
	code := f.Int(name)
	if code < 0 || code >= int64(len(outcomes)) {
		f.fail(name, "no such completion code")
		return scheduler.OutcomePending
	}
	return outcomes[code]
}

// EndpointState reads the state of a node in an endpoint list. An unknown word is an error.
func (f *Fields) EndpointState(name string) scheduler.EndpointState {
	switch word := f.Text(name); word {
	case "ready":
		return scheduler.EndpointReady
	case "draining":
		return scheduler.EndpointDraining
	case "gone":
		return scheduler.EndpointRemoved
	default:
		f.fail(name, "no such availability: "+word)
		return scheduler.EndpointRemoved
	}
}
