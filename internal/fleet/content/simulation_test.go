package content

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// simulation is a gateway that fetches contents from two replicas, under randomly drawn version changes, replica
// resets, lost, damaged and misdirected responses, and restarts with the right, an outdated, a foreign or no content
// on disk. Every content that it has cached for a version must equal that version's, byte for byte. A response
// without a fault must be accepted, and must be a delta if the replica had the base.
type simulation struct {
	t             *rapid.T
	faults        InjectedFaults
	replicas      []*fakeReplica
	cache         *Cache
	storedContent []byte
	sent          []response // all responses that replicas have sent
	inForce       int        // version numbers, as is newest
	newest        int
}

type response struct {
	encoding string
	encoded  []byte
}

// Network faults of a response. The fault is drawn from 0 to 9; the other numbers deliver the response unchanged.
const (
	networkLoss = iota
	networkBitFlip
	networkTruncation
	networkRepeatedBody
	networkOtherResponse
)

// simulate runs one simulation and returns the first violation.
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
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0, 1: // a new version, even if the previous one never came into force
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

// resetReplica replaces a replica by one that has only the versions from a random one on, as after it has joined or
// lost its data.
func (s *simulation) resetReplica() {
	replica := s.replicas[rapid.IntRange(0, 1).Draw(s.t, "replica")]
	*replica = *newFakeReplica()
	for n := rapid.IntRange(0, s.newest).Draw(s.t, "from"); n <= s.newest; n++ {
		replica.has[digests[n]] = contents[n]
	}
}

// restart restarts the gateway with one of these on its disk: nothing, the last content, the first one, or the
// content of another fleet.
func (s *simulation) restart() {
	disks := [][]byte{nil, s.storedContent, contents[0], []byte("of another fleet")}
	s.cache = NewCache(rapid.SampledFrom(disks).Draw(s.t, "stored content"), s.faults)
}

// renew grants a lease that names the version in force, and the newest one if it is another, and fetches their
// contents.
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
				return fmt.Errorf("fetch of one content still in progress after %d requests", attempts)
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

// request sends one request of a fetch and handles its outcome.
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
		return fmt.Errorf("undamaged response was rejected: %w", err)
	}
	if undamaged && hasBase && request.Base != request.Digest && encoding != EncodingDelta {
		return fmt.Errorf("full content was sent although the replica had base %.8s", request.Base)
	}
	return nil
}

// deliver returns a response as it arrives after a network fault.
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
	case networkOtherResponse: // any response sent so far, also to another request
		r = rapid.SampledFrom(s.sent).Draw(s.t, "sent response")
	}
	return r
}

// check checks that the cache is bounded and that its contents are those of the versions.
func (s *simulation) check() error {
	if cached := s.cache.Digests(); len(cached) > 3 {
		return fmt.Errorf("%d contents are cached, want at most 3", len(cached))
	}
	for n, digest := range digests {
		if content := s.cache.Content(digest); content != nil && !bytes.Equal(content, contents[n]) {
			return fmt.Errorf("the cached content of version %d differs from that version's", n)
		}
	}
	return nil
}

// TestFetchedContentIsEqualOrMissing guards against a gateway that acts on a wrong content after network faults,
// replica resets and restarts.
func TestFetchedContentIsEqualOrMissing(t *testing.T) {
	// The fixed seed makes each run draw the same values.
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "7"} {
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

// TestSimulationFindsInjectedFaults checks that the simulation detects each injected defect.
func TestSimulationFindsInjectedFaults(t *testing.T) {
	const maxRuns = 4000
	for name, fault := range map[string]InjectedFaults{
		"digest not checked":                FaultNoDigestCheck,
		"another base than was named":       FaultWrongBase,
		"stale content from disk in effect": FaultStaleCacheFile,
	} {
		run, err := findFault(fault, maxRuns)
		if err == nil {
			t.Errorf("%s: not detected in %d runs", name, maxRuns)
			continue
		}
		t.Logf("%s: detected in run %d: %v", name, run, err)
	}
}

// findFault returns the number of the first run that detects a fault and the violation found, or nil if no run does.
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
