package admin

import "time"

// Status is how a gateway stands: the answer of GET /status.
type Status struct {
	Gateway          string                   `json:"gateway"`
	Address          string                   `json:"address"` // of its file front end
	Since            time.Time                `json:"since"`   // its start
	Requests         int                      `json:"held"`    // in flight: without their final answer
	AttemptsInFlight int                      `json:"out"`
	LateAnswers      int64                    `json:"late"` // of nodes, after their attempt was given up
	RequestClasses   map[string]RequestCounts `json:"products"`
	Capture          Capture                  `json:"capture"`
	Nodes            map[string]int           `json:"nodes"` // numbers of nodes by Endpoint.State
	HeldLoss         *HeldLoss                `json:"lost,omitempty"`
	Version          string                   `json:"rules,omitempty"` // with the state, of one that follows replicas
}

// RequestCounts count a request class's requests since the gateway's start, by their results.
type RequestCounts struct {
	Accepted  int64 `json:"taken"`
	Succeeded int64 `json:"completed"`
	Rejected  int64 `json:"dismissed"`
	Failed    int64 `json:"written_off"`
	Cancelled int64 `json:"left"` // by their clients
}

// Capture is how a gateway's capture stands: the answer of POST /capture/start and /capture/stop.
type Capture struct {
	On      bool   `json:"on"`
	File    string `json:"file,omitempty"` // the present or the last one
	Written int64  `json:"written"`        // bytes
	Dropped int64  `json:"dropped"`        // records
	Error   string `json:"error,omitempty"`
}

// EndpointReport is the gateway's endpoint list with its sources: the answer of GET /members.
type EndpointReport struct {
	Gateway            string     `json:"gateway"`
	SchedulerUpdatedAt time.Time  `json:"told"` // the last update of the scheduler's list; zero: none yet
	HeldLoss           *HeldLoss  `json:"held,omitempty"`
	Sources            []Source   `json:"sources"`
	Nodes              []Endpoint `json:"nodes"`
}

// HeldLoss is a loss of nodes, reported by the sources, that is held and not in force yet.
type HeldLoss struct {
	Since         time.Time `json:"since"`
	Nodes         int       `json:"nodes"`
	LeavesNoNodes bool      `json:"all"` // it waits for a confirmation or for the source's next update, however long
}

// Source is a source of the endpoint list.
type Source struct {
	Name            string    `json:"name"`
	State           string    `json:"state"`
	Since           time.Time `json:"since"` // of the state
	LastError       string    `json:"trouble,omitempty"`
	Version         string    `json:"version"`           // in force
	ReceivedAt      time.Time `json:"heard"`             // the version in force; zero: none was
	Nodes           int       `json:"nodes"`             // of that version
	HeldVersion     string    `json:"held,omitempty"`    // a version that is held as older than the one in force
	RejectedUpdates int       `json:"refused"`           // since the start
	LastRejection   string    `json:"refusal,omitempty"` // its reason
	LastRejectionAt time.Time `json:"refused_at,omitzero"`
}

// Endpoint is a node of the endpoint list.
type Endpoint struct {
	Addr             string    `json:"addr"`
	Name             string    `json:"name,omitempty"`
	Shard            int       `json:"shard"`
	Zone             string    `json:"zone,omitempty"`
	State            string    `json:"state"`
	Since            time.Time `json:"since"` // of the state
	Reason           string    `json:"why"`   // of the state
	Source           string    `json:"source"`
	Weight           float64   `json:"weight,omitempty"`
	AttemptsInFlight int       `json:"out"`
}

// Confirmation is what a confirmation has put in force: the answer of POST /members/confirm.
type Confirmation struct {
	Nodes int `json:"nodes"` // lost nodes that were held
	Lists int `json:"lists"` // lists that were held as old
}
