package scheduler

// Decision is what is to be done now, and the caller does it: the scheduler itself sends nothing. Its lists are
// valid until the next call of Decide.
type Decision struct {
	Finished       []*Request // requests to answer, by their State and RetryAfter
	Cancel         []*Attempt // attempts to cancel
	Dispatch       []*Attempt // attempts to send
	HealthChecks   []*Node    // nodes to check; none for now
	WatchEndpoints bool       // call for the endpoint list and its changes
	Log            []string   // lines to log, at level info
	NextWake       Time       // call Decide again at this time at the latest; 0 for no need
}
