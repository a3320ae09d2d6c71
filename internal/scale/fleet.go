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

// Options are what a fleet is started with.
type Options struct {
	Program func(args ...string) *exec.Cmd // returns the command `irispost args...`
	Dir     string                         // folder for the files of replicas and gateways
	Logger  *slog.Logger
	Note    func(format string, args ...any) // called at each step, with text for people; nil: nobody reads it
	Defects Defect                           // injected into a gateway by tests
}

// Fleet is a set of replicas and gateways that run. Its fields are used by the goroutine of the case alone.
type Fleet struct {
	Size              Size
	Gateways          []*HollowGateway
	options           Options
	localSettings     scheduler.Settings
	replicas          []*replicaProcess
	links             []*rig.Link // all
	interRegionLinks  []*rig.Link // those of them between regions
	operator          *replica.Client
	traffic           meter.Counter // between all gateways and the replicas
	config            *configversion.Config
	newestVersion     uint64
	unauditedVersions []*configversion.Version // since the last audit, with the newest before it
}

const (
	// faultyGateway is the index of the gateway that suffers alone in some cases. It has links of its own.
	faultyGateway = 0

	// operatorTimeout is how long the operator's client waits for an answer, as the program does by default. A
	// replica gets a part of it.
	operatorTimeout = 10 * time.Second

	pollInterval = 5 * time.Millisecond
)

// defectiveGateway returns the gateway that gets a test's defects: one of the second region.
func (f *Fleet) defectiveGateway() *HollowGateway { return f.Gateways[f.Size.FirstRegionZones] }

// Open starts a fleet and waits until all its gateways act on its first version.
func Open(size Size, options Options) (*Fleet, error) {
	if err := size.Check(); err != nil {
		return nil, err
	}
	if options.Note == nil {
		options.Note = func(string, ...any) {}
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
		return fmt.Errorf("after a first start: %s", strings.Join(laggards, "; "))
	}
	f.options.Note("%d gateways of %d nodes act on the first version after %d ms",
		f.Size.Gateways, f.Size.Nodes, (monotonic()-startedAt)/1e6)
	return nil
}

// createGateways makes the gateways and their links to the replicas, without starting them.
func (f *Fleet) createGateways() (err error) {
	addrsByZone := make([][]string, f.Size.Zones)
	for zone := range addrsByZone {
		if addrsByZone[zone], err = f.replicaAddrs(zone, false); err != nil {
			return err
		}
	}
	for i := range f.Size.Gateways {
		zone := f.Size.zone(i)
		gateway := &HollowGateway{
			Name:         fmt.Sprint("g", i),
			fleet:        f,
			index:        i,
			zone:         zone,
			replicaAddrs: addrsByZone[zone],
		}
		if i == faultyGateway {
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

// replicaAddrs returns the addresses at which gateways of a zone reach the replicas: those of its own region
// directly, unless the links are one gateway's own.
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

// Close ends all gateways, replicas and links.
func (f *Fleet) Close() {
	f.kill(f.Gateways)
	for _, replica := range f.replicas {
		replica.kill()
	}
	for _, link := range f.links {
		link.Close()
	}
}

// start starts gateways concurrently and returns the first error.
func (f *Fleet) start(gateways []*HollowGateway) error {
	errs := make([]error, len(gateways))
	forEachGateway(gateways, func(i int, gateway *HollowGateway) { errs[i] = gateway.start() })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// kill kills gateways concurrently.
func (f *Fleet) kill(gateways []*HollowGateway) {
	forEachGateway(gateways, func(_ int, gateway *HollowGateway) { gateway.kill() })
}

// forEachGateway calls do for all gateways concurrently and waits until all calls have returned.
func forEachGateway(gateways []*HollowGateway, do func(int, *HollowGateway)) {
	var done sync.WaitGroup
	for i, gateway := range gateways {
		done.Go(func() { do(i, gateway) })
	}
	done.Wait()
}

// gatewaysInZone returns the gateways of a zone.
func (f *Fleet) gatewaysInZone(zone int) (gateways []*HollowGateway) {
	for _, gateway := range f.Gateways {
		if gateway.zone == zone {
			gateways = append(gateways, gateway)
		}
	}
	return gateways
}
