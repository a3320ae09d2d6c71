package admin

import "time"

// Status is the state of a gateway: the response to GET /status.
type Status struct {
	Gateway          string                   `json:"gateway"`
	Address          string                   `json:"address"` // of the file front end
	Since            time.Time                `json:"since"`   // its start
	Requests         int                      `json:"held"`    // in flight: without a final response
	AttemptsInFlight int                      `json:"out"`
	LateAnswers      int64                    `json:"late"` // responses of nodes to attempts that had been abandoned
	RequestClasses   map[string]RequestCounts `json:"products"`
	Capture          Capture                  `json:"capture"`
	Nodes            map[string]int           `json:"nodes"` // number of nodes by Endpoint.State
	HeldLoss         *HeldLoss                `json:"lost,omitempty"`
	Version          string                   `json:"rules,omitempty"` // state and version; empty without replicas
}

// RequestCounts counts the requests of a request class by their results since the gateway started.
type RequestCounts struct {
	Accepted  int64 `json:"taken"`
	Succeeded int64 `json:"completed"`
	Rejected  int64 `json:"dismissed"`
	Failed    int64 `json:"written_off"`
	Cancelled int64 `json:"left"` // by their clients
}

// Capture is the state of a gateway's capture: the response to POST /capture/start and POST /capture/stop.
type Capture struct {
	On      bool   `json:"on"`
	File    string `json:"file,omitempty"` // current or last file
	Written int64  `json:"written"`        // bytes
	Dropped int64  `json:"dropped"`        // records
	Error   string `json:"error,omitempty"`
}

// EndpointReport is the gateway's endpoint list with its sources: the response to GET /members.
type EndpointReport struct {
	Gateway            string     `json:"gateway"`
	SchedulerUpdatedAt time.Time  `json:"told"` // last update of the scheduler's endpoint list; zero: none yet
	HeldLoss           *HeldLoss  `json:"held,omitempty"`
	Sources            []Source   `json:"sources"`
	Nodes              []Endpoint `json:"nodes"`
}

// HeldLoss is a loss of nodes that the sources have reported and that is held down, so it is not in force yet.
type HeldLoss struct {
	Since         time.Time `json:"since"`
	Nodes         int       `json:"nodes"`
	LeavesNoNodes bool      `json:"all"` // held without a time limit, until a confirmation or the source's next update
}

// Source is a source of the endpoint list.
type Source struct {
	Name            string    `json:"name"`
	State           string    `json:"state"`
	Since           time.Time `json:"since"` // of the state
	LastError       string    `json:"trouble,omitempty"`
	Version         string    `json:"version"`           // in force
	ReceivedAt      time.Time `json:"heard"`             // when the version in force was received; zero: there is none
	Nodes           int       `json:"nodes"`             // in that version
	HeldVersion     string    `json:"held,omitempty"`    // held back because it is older than the one in force
	RejectedUpdates int       `json:"refused"`           // since the start
	LastRejection   string    `json:"refusal,omitempty"` // reason
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

// Confirmation counts what a confirmation has put in force: the response to POST /members/confirm.
type Confirmation struct {
	Nodes int `json:"nodes"` // lost nodes that were held down
	Lists int `json:"lists"` // lists that were held back as older
}
