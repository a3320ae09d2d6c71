package day

import "github.com/hashicorp/hcl/v2"

// scriptFile is the HCL schema of a script. The keys must not change, as there are scripts outside of this repository.
type scriptFile struct {
	Seed          uint64        `hcl:"seed,optional"`
	Length        string        `hcl:"length"`
	Config        string        `hcl:"config"`
	Gateways      int           `hcl:"gateways"`
	Shards        int           `hcl:"shards,optional"`
	DrainGrace    string        `hcl:"grace,optional"`
	Slack         string        `hcl:"slack,optional"`
	Transit       string        `hcl:"transit,optional"`
	Replicas      int           `hcl:"keepers,optional"`
	LeaseDuration string        `hcl:"lease,optional"`
	MaxClockDrift float64       `hcl:"drift,optional"`
	Fallback      string        `hcl:"floor,optional"`
	Peers         bool          `hcl:"peers,optional"`
	Changes       []changeBlock `hcl:"change,block"`
	Nodes         []nodeBlock   `hcl:"node,block"`
	Clients       []clientBlock `hcl:"client,block"`
	Faults        []faultBlock  `hcl:"trouble,block"`
}

type nodeBlock struct {
	Name               string    `hcl:"name,label"`
	Shard              int       `hcl:"shard"`
	Zone               string    `hcl:"zone,optional"`
	Cores              int       `hcl:"cores,optional"`
	UnitTime           string    `hcl:"unit"`
	Queue              int       `hcl:"queue,optional"`
	DeferredWriteShare float64   `hcl:"put_off,optional"`
	Range              hcl.Range `hcl:",def_range"`
}

type clientBlock struct {
	Name        string    `hcl:"name,label"`
	Count       int       `hcl:"count,optional"`
	Volume      string    `hcl:"volume"`
	Operation   string    `hcl:"do"`
	Rate        float64   `hcl:"rate"`
	Bytes       int       `hcl:"bytes,optional"`
	Files       int       `hcl:"files,optional"`
	Blocks      int       `hcl:"blocks,optional"`
	Retries     int       `hcl:"retries,optional"`
	RetryDelay  string    `hcl:"pause,optional"`
	CancelAfter string    `hcl:"leaves_after,optional"`
	Gateway     string    `hcl:"gateway,optional"`
	From        string    `hcl:"from,optional"`
	Until       string    `hcl:"until,optional"`
	Range       hcl.Range `hcl:",def_range"`
}

type changeBlock struct {
	At           string    `hcl:"at"`
	Every        string    `hcl:"every,optional"`
	ServiceLevel string    `hcl:"plan"`
	RateLimit    float64   `hcl:"limit"`
	Proposers    int       `hcl:"race,optional"`
	Range        hcl.Range `hcl:",def_range"`
}

type faultBlock struct {
	Replica          string    `hcl:"keeper,optional"`
	Between          []string  `hcl:"between,optional"`
	At               string    `hcl:"at"`
	For              string    `hcl:"for,optional"`
	Node             string    `hcl:"node,optional"`
	Gateway          string    `hcl:"gateway,optional"`
	ManagementServer string    `hcl:"plane,optional"`
	Action           string    `hcl:"do,optional"`
	Range            hcl.Range `hcl:",def_range"`
}
