package wire

import "irispost/scheduler"

// outcomes are the scheduler's, by completion code.
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

// Outcome reads a completion code. A code that is not known is an error.
func (f *Fields) Outcome(name string) scheduler.Outcome {
	code := f.Int(name)
	if code < 0 || code >= int64(len(outcomes)) {
		f.fail(name, "no such completion code")
		return scheduler.OutcomePending
	}
	return outcomes[code]
}

// EndpointState reads the state of a node in an endpoint list. A word that is not known is an error.
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
