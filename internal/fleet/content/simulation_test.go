package content

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulation is a gateway that fetches contents from two replicas, in any order of changes, losses, damaged and
// mixed up responses, and starts with what the disk had then, or something else. Whatever it has of a version
// has to be the version, byte for byte; what was fetched without a fault has to come as a delta where the
// replica had the base.
type simulation struct {
	t             *rapid.T
	faults        InjectedFaults
	replicas      []*fakeReplica
	cache         *Cache
	storedContent []byte
	sent          []response // all that were sent
	inForce       int        // versions by number
	newest        int
}

type response struct {
	encoding string
	encoded  []byte
}

// What becomes of a response, as drawn from 0 to 9; higher numbers are delivered as they are.
const (
	networkLoss = iota
	networkBitFlip
	networkTruncation
	networkRepeatedBody
	networkOtherResponse
)

// simulate runs a simulation, and returns what was wrong.
func simulate(t *rapid.T, faults InjectedFaults) error {
	s := &simulation{t: t, faults: faults, cache: NewCache(nil, faults)}
	for range 2 {
		s.replicas = append(s.replicas, newFakeReplica())
	}
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		if err := s.step(); err != nil {
			return err
		}
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) step() error {
	switch rapid.IntRange(0, 9).Draw(s.t, "what") {
	case 0, 1: // a new version, in force or taken back
		if s.newest < len(contents)-1 {
			s.newest++
		}
	case 2:
		s.inForce = s.newest
	case 3:
		s.resetReplica()
	case 4:
		s.restart()
	default:
		return s.renew()
	}
	return nil
}

// resetReplica has a replica join, forget, or have later versions only.
func (s *simulation) resetReplica() {
	replica := s.replicas[rapid.IntRange(0, 1).Draw(s.t, "keeper")]
	*replica = *newFakeReplica()
	for n := rapid.IntRange(0, s.newest).Draw(s.t, "from"); n <= s.newest; n++ {
		replica.has[digests[n]] = contents[n]
	}
}

// restart starts the gateway with what is on its disk: nothing, the last content, an older one, another fleet's.
func (s *simulation) restart() {
	disks := [][]byte{nil, s.storedContent, contents[0], []byte("of another fleet")}
	s.cache = NewCache(rapid.SampledFrom(disks).Draw(s.t, "spool"), s.faults)
}

// renew takes a lease on the version in force, and on the newest if that is another, and fetches their contents.
func (s *simulation) renew() error {
	named := []string{digests[s.inForce]}
	if s.newest != s.inForce {
		named = append(named, digests[s.newest])
	}
	s.cache.Retain(named...)
	for _, digest := range named {
		fetch := s.cache.Fetch(digest, len(s.replicas))
		for attempts := 0; fetch.State() == StateInProgress; attempts++ {
			if attempts > 2*len(s.replicas) {
				return fmt.Errorf("%d requests for one content", attempts)
			}
			if err := s.request(fetch); err != nil {
				return err
			}
		}
		if fetch.State() == StateDone {
			s.storedContent = s.cache.Content(digest)
		}
	}
	return nil
}

// request makes one request of a fetch.
func (s *simulation) request(fetch *Fetch) error {
	request := fetch.NextRequest()
	replica := s.replicas[request.Replica]
	encoding, encoded, exists := replica.respond(request)
	fault := rapid.IntRange(0, 9).Draw(s.t, "fault")
	if !exists || fault == networkLoss {
		fetch.HandleFailure()
		return nil
	}
	s.sent = append(s.sent, response{encoding, encoded})
	delivered := s.deliver(response{encoding, encoded}, fault)
	undamaged := fault > networkOtherResponse
	_, hasBase := replica.content(request.Base)
	if err := fetch.HandleResponse(request, delivered.encoding, delivered.encoded); undamaged && err != nil {
		return fmt.Errorf("rejected without a fault: %w", err)
	}
	if undamaged && hasBase && request.Base != request.Digest && encoding != EncodingDelta {
		return fmt.Errorf("full content, where base %.8s was there", request.Base)
	}
	return nil
}

// deliver is what becomes of a response on its way.
func (s *simulation) deliver(r response, fault int) response {
	switch fault {
	case networkBitFlip:
		r.encoded = bytes.Clone(r.encoded)
		at := rapid.IntRange(0, len(r.encoded)-1).Draw(s.t, "byte")
		r.encoded[at] ^= 1 << rapid.IntRange(0, 7).Draw(s.t, "bit")
	case networkTruncation:
		r.encoded = r.encoded[:rapid.IntRange(0, len(r.encoded)-1).Draw(s.t, "cut")]
	case networkRepeatedBody:
		r.encoded = slices.Concat(r.encoded, r.encoded)
	case networkOtherResponse: // an earlier response, or one to another request
		r = rapid.SampledFrom(s.sent).Draw(s.t, "late")
	}
	return r
}

// check holds the cache against the contents.
func (s *simulation) check() error {
	if cached := s.cache.Digests(); len(cached) > 3 {
		return fmt.Errorf("%d contents are cached", len(cached))
	}
	for n, digest := range digests {
		if content := s.cache.Content(digest); content != nil && !bytes.Equal(content, contents[n]) {
			return fmt.Errorf("what is cached of version %d is another", n)
		}
	}
	return nil
}

func TestFetchedContentIsEqualOrMissing(t *testing.T) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} { // the same draws each time
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(t, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSimulationFindsInjectedFaults: the simulation has to find each defect.
func TestSimulationFindsInjectedFaults(t *testing.T) {
	const maxRuns = 4000
	for name, fault := range map[string]InjectedFaults{
		"digest not checked":                FaultNoDigestCheck,
		"another base than was named":       FaultWrongBase,
		"stale content from disk in effect": FaultStaleCacheFile,
	} {
		run, err := findFault(fault, maxRuns)
		if err == nil {
			t.Errorf("%s: not found in %d runs", name, maxRuns)
			continue
		}
		t.Logf("%s: found in run %d: %v", name, run, err)
	}
}

// findFault returns the first run in which a fault is found, and how; nil: in none.
func findFault(fault InjectedFaults, maxRuns int) (run int, found error) {
	for seed := range maxRuns {
		rapid.Custom(func(t *rapid.T) bool {
			if err := simulate(t, fault); err != nil && found == nil {
				run, found = seed+1, err
			}
			return true
		}).Example(seed)
		if found != nil {
			break
		}
	}
	return run, found
}
