package scheduler

// Decision is what is to be done now. Its lists are valid until the next call of Decide.
type Decision struct {
	Finished       []*Request // requests to answer: their State says how, and RetryAfter when to come back
	Cancel         []*Attempt // attempts to cancel
	Dispatch       []*Attempt // attempts to send
	HealthChecks   []*Node    // nodes to check
	WatchEndpoints bool       // call for the endpoint list and its changes
	Log            []string   // lines to log, at level info
	NextWake       Time       // call Decide again at this time at the latest; 0 for no need
}
