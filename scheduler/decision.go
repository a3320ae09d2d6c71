package scheduler

// Decision lists the actions that the caller has to take; the scheduler itself sends nothing. Its slices are valid
// until the next call of Decide.
type Decision struct {
	Finished       []*Request // requests to answer, according to their State and RetryAfter
	Cancel         []*Attempt // attempts to cancel
	Dispatch       []*Attempt // attempts to send
	HealthChecks   []*Node    // nodes to check; always empty at present
	WatchEndpoints bool       // request the endpoint list and its changes
	Log            []string   // lines to log at level info
	NextWake       Time       // call Decide again at this time at the latest; 0 if not needed
}
