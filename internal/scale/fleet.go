package scale

import (
	"fmt"
	"log/slog"
	"os/exec"
	"strings"
	"sync"
	"time"

	"irispost/internal/fleet/configversion"
	"irispost/internal/fleet/replica"
	"irispost/internal/fleet/rig"
	"irispost/internal/scale/meter"
	"irispost/scheduler"
)

// Options configures a fleet.
type Options struct {
	Program  func(args ...string) *exec.Cmd // returns the command `irispost args...`
	Dir      string                         // directory for the files of replicas and gateways
	Logger   *slog.Logger
	Progress func(format string, args ...any) // reports progress as text; nil: no reports
	Defects  Defect                           // defects that tests inject
}

// Fleet is a running set of replicas and gateways. Only the goroutine of the case uses its fields.
type Fleet struct {
	Size              Size
	Gateways          []*Gateway
	options           Options
	localSettings     scheduler.Settings
	replicas          []*replicaProcess
	links             []*rig.Link // all links
	interRegionLinks  []*rig.Link // those between regions
	operator          *replica.Client
	traffic           meter.Counter // between all gateways and the replicas
	config            *configversion.Config
	newestVersion     uint64
	unauditedVersions []*configversion.Version // since the last audit, preceded by the newest version before it
}

const (
	// faultyGatewayIndex is the index of the gateway into which faults of a single gateway are injected. It has
	// private links, so that other gateways are not affected.
	faultyGatewayIndex = 0

	// operatorTimeout is how long the operator's client waits for an answer, the default of the irispost command. Each
	// replica gets a part of this time.
	operatorTimeout = 10 * time.Second

	pollInterval = 5 * time.Millisecond
)

// defectiveGateway returns the gateway into which a test's defects are injected. It is in the second region.
func (f *Fleet) defectiveGateway() *Gateway { return f.Gateways[f.Size.FirstRegionZones] }

// Open starts a fleet and waits until all its gateways act on its first version.
func Open(size Size, options Options) (*Fleet, error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	fleet := &Fleet{Size: size, options: options, localSettings: newLocalSettings(&size), config: initialConfig(&size)}
	if err := fleet.open(); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) open() error {
	if err := f.startReplicas(); err != nil {
		return err
	}
	var addrs []string
	for _, replica := range f.replicas {
		addrs = append(addrs, replica.addr)
	}
	f.operator = &replica.Client{Replicas: addrs, Timeout: operatorTimeout}
	if _, err := f.propose("the first version", func(*configversion.Config) {}); err != nil {
		return err
	}
	if err := f.createGateways(); err != nil {
		return err
	}
	startedAt := monotonic()
	if err := f.start(f.Gateways); err != nil {
		return err
	}
	if laggards := f.awaitVersion(f.newestVersion, noGateway); len(laggards) > 0 {
		return fmt.Errorf("the first version is not in force after the start: %s", strings.Join(laggards, "; "))
	}
	f.options.Progress("%d gateways with %d nodes acted on the first version after %d ms",
		f.Size.Gateways, f.Size.Nodes, (monotonic()-startedAt)/1e6)
	return nil
}

// createGateways creates the gateways and their links to the replicas, without starting the gateways.
func (f *Fleet) createGateways() (err error) {
	addrsByZone := make([][]string, f.Size.Zones)
	for zone := range addrsByZone {
		if addrsByZone[zone], err = f.replicaAddrs(zone, false); err != nil {
			return err
		}
	}
	for i := range f.Size.Gateways {
		zone := f.Size.zone(i)
		gateway := &Gateway{
			Name:         fmt.Sprint("g", i),
			fleet:        f,
			index:        i,
			zone:         zone,
			replicaAddrs: addrsByZone[zone],
		}
		if i == faultyGatewayIndex {
			before := len(f.links)
			if gateway.replicaAddrs, err = f.replicaAddrs(zone, true); err != nil {
				return err
			}
			gateway.privateLinks = f.links[before:len(f.links):len(f.links)]
		}
		if i == f.Size.FirstRegionZones || f.options.Defects&DefectLeak != 0 {
			gateway.defects = f.options.Defects
		}
		f.Gateways = append(f.Gateways, gateway)
	}
	return nil
}

// replicaAddrs returns the addresses at which gateways of a zone reach the replicas. They reach replicas of their own
// region directly, and others over links. Private links, for a single gateway, lead to all replicas.
func (f *Fleet) replicaAddrs(zone int, private bool) (addrs []string, err error) {
	for _, replica := range f.replicas {
		addr := replica.addr
		if replica.region != f.Size.region(zone) || private {
			link, err := f.linkBetween(addr, f.Size.region(zone), replica.region)
			if err != nil {
				return nil, err
			}
			addr = link.Addr()
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// Close kills all gateways and replicas and closes all links.
func (f *Fleet) Close() {
	f.kill(f.Gateways)
	for _, replica := range f.replicas {
		replica.kill()
	}
	for _, link := range f.links {
		link.Close()
	}
}

// start starts gateways concurrently. It returns the error of the first gateway in the list that failed.
func (f *Fleet) start(gateways []*Gateway) error {
	errs := make([]error, len(gateways))
	forEachGateway(gateways, func(i int, gateway *Gateway) { errs[i] = gateway.start() })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// kill kills gateways concurrently.
func (f *Fleet) kill(gateways []*Gateway) {
	forEachGateway(gateways, func(_ int, gateway *Gateway) { gateway.kill() })
}

// forEachGateway calls do concurrently for each gateway and waits until all calls have returned.
func forEachGateway(gateways []*Gateway, do func(int, *Gateway)) {
	var done sync.WaitGroup
	for i, gateway := range gateways {
		done.Go(func() { do(i, gateway) })
	}
	done.Wait()
}

// gatewaysInZone returns the gateways of a zone.
func (f *Fleet) gatewaysInZone(zone int) (gateways []*Gateway) {
	for _, gateway := range f.Gateways {
		if gateway.zone == zone {
			gateways = append(gateways, gateway)
		}
	}
	return gateways
}
