package lease

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"irispost/internal/fleet/configversion"
)

// Lower bounds on what a state machine of format 2 retains.
const (
	RetainedBaseVersions = 8    // versions before the announced one, as bases of deltas
	RetainedProposalIDs  = 1024 // IDs of the latest proposals, to recognise retries
)

// Reasons why a command changes nothing. The text for a rejected proposal tells its author what to do.
var (
	ErrStaleParent    = errors.New("it was made of a version that is not the newest")
	ErrVersionPending = errors.New("another version is announced and not in force yet")

	errBootstrapped  = errors.New("the fleet is already bootstrapped")
	errVersionNeeded = errors.New("a version that is announced or in force cannot be forgotten")
)

// StateMachine is the state that results from the replicas' log. The same commands in the same order result in the
// same state at each replica.
type StateMachine struct {
	Format          int                      `json:"form,omitempty"` // newest format used in the log; 0: format 1
	Settings        Settings                 `json:"terms"`
	Versions        []*configversion.Version `json:"versions"` // ordered by number, without forgotten ones
	ProposalIDs     map[string]uint64        `json:"ids"`      // version numbers by proposal ID
	InForce         uint64                   `json:"in_force"` // 0: none
	Announced       uint64                   `json:"announced"`
	Holders         map[string]bool          `json:"holders"` // gateways that may have a lease or a valid fallback
	Members         map[string]bool          `json:"present"` // holders that may have a lease
	MembershipEpoch uint64                   `json:"sets"`    // number of changes of Members so far
	Departures      uint64                   `json:"parts"`   // number of removals from Members so far

	fallbackDurations map[uint64]Time           // by version, computed on demand
	encoded           map[uint64]encodedContent // by version, cached
}

// NewStateMachine returns the state of an empty log.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		ProposalIDs:       map[string]uint64{},
		Holders:           map[string]bool{},
		Members:           map[string]bool{},
		fallbackDurations: map[uint64]Time{},
		encoded:           map[uint64]encodedContent{},
	}
}

// Version returns the version with the given number, or nil if it does not exist or was forgotten.
func (s *StateMachine) Version(number uint64) *configversion.Version {
	i, found := slices.BinarySearchFunc(s.Versions, number, func(v *configversion.Version, number uint64) int {
		return cmp.Compare(v.Number, number)
	})
	if !found {
		return nil
	}
	return s.Versions[i]
}

// VersionByDigest returns the latest version with the given digest, or nil if there is none.
func (s *StateMachine) VersionByDigest(digest string) *configversion.Version {
	for _, v := range slices.Backward(s.Versions) {
		if v.Digest == digest {
			return v
		}
	}
	return nil
}

// Apply applies the next command of the log. For a proposal it returns the resulting version. After
// ErrInvalidEntry the replica cannot continue. After any other error the command has changed nothing.
func (s *StateMachine) Apply(command *Command) (*configversion.Version, error) {
	switch {
	case command.Bootstrap != nil:
		if s.Settings.LeaseDuration > 0 {
			return nil, errBootstrapped
		}
		s.Settings = *command.Bootstrap
	case command.Propose != nil:
		return s.propose(command.Propose)
	case command.Activate > 0:
		if command.Activate == s.Announced { // a version that was replaced in the meantime never comes into force
			s.InForce = command.Activate
		}
	case len(command.Forget) > 0:
		return nil, s.forget(command.Forget)
	default:
		s.updateMembership(command)
	}
	return nil, nil
}

// updateMembership applies changes of holders and members. All changes of one command share one epoch.
func (s *StateMachine) updateMembership(command *Command) {
	next := s.MembershipEpoch + 1
	for _, name := range command.Join {
		s.Holders[name] = true
		if !s.Members[name] {
			s.Members[name] = true
			s.MembershipEpoch = next
		}
	}
	for _, name := range slices.Concat(command.Remove, command.LeaseExpired) {
		if s.Members[name] {
			delete(s.Members, name)
			s.Departures++
			s.MembershipEpoch = next
		}
	}
	for _, name := range command.Remove {
		delete(s.Holders, name)
	}
}

// propose announces a new version, or returns the existing one if the proposal is a retry.
func (s *StateMachine) propose(proposal *Proposal) (*configversion.Version, error) {
	if proposal.Delta != nil {
		s.Format = formatWithDeltas
	}
	if number := s.ProposalIDs[proposal.ID]; number > 0 {
		if v := s.Version(number); v != nil {
			return v, nil
		}
		return &configversion.Version{Number: number, Parent: number - 1}, nil // the rest is in the history
	}
	if err := s.checkParent(proposal); err != nil {
		return nil, err
	}
	content, err := proposal.decodeContent(s)
	if err != nil {
		return nil, err
	}
	version, err := s.newVersion(proposal, content)
	if err != nil {
		return nil, err
	}
	if proposal.Delta != nil && bytes.Equal(version.Content, content) {
		s.encoded[version.Number] = encodedContent{proposal.DeltaBase, proposal.Delta}
	}
	s.Versions = append(s.Versions, version)
	s.Announced = version.Number
	s.ProposalIDs[proposal.ID] = version.Number
	if s.Format >= formatWithDeltas {
		maps.DeleteFunc(s.ProposalIDs, func(_ string, number uint64) bool {
			return number+RetainedProposalIDs <= s.Announced
		})
	}
	return version, nil
}

// checkParent rejects a proposal that is not based on the latest version, or that would replace a pending version
// without asking to.
func (s *StateMachine) checkParent(proposal *Proposal) error {
	latest := s.Version(s.Announced)
	switch {
	case proposal.Parent != s.Announced && latest == nil:
		return fmt.Errorf("%w: it was made of %d, but there is no version yet", ErrStaleParent, proposal.Parent)
	case proposal.Parent != s.Announced:
		hint := ""
		if s.Format >= formatWithDeltas && s.Announced-min(s.Announced, proposal.Parent) >= RetainedProposalIDs {
			hint = fmt.Sprintf(" (an earlier attempt may have been accepted: proposal IDs are kept for %d versions)",
				RetainedProposalIDs)
		}
		return fmt.Errorf("%w: it was made of %d, the newest is %s by %s: %s%s",
			ErrStaleParent, proposal.Parent, latest.Name(), latest.Author, latest.Reason, hint)
	case s.Announced != s.InForce && !proposal.ReplacePending:
		return fmt.Errorf("%w: %s", ErrVersionPending, latest.Name())
	}
	return nil
}

// newVersion builds the version that a proposal asks for. Content in a newer format than this build supports is
// accepted unchanged, because a replica may run an older build than the gateways that will use it.
func (s *StateMachine) newVersion(proposal *Proposal, content []byte) (*configversion.Version, error) {
	version := &configversion.Version{
		Number:    s.Announced + 1,
		Parent:    proposal.Parent,
		Author:    proposal.Author,
		Reason:    proposal.Reason,
		CreatedAt: proposal.CreatedAt,
	}
	config, err := configversion.Parse(content)
	var newer *configversion.UnsupportedFormatError
	switch {
	case err == nil:
		version.Digest = config.Digest()
		version.Content = config.Canonical()
		s.fallbackDurations[version.Number] = config.FallbackPolicy.Duration
	case errors.As(err, &newer):
		version.Digest = configversion.DigestOf(content)
		version.Content = content
	default:
		return nil, err
	}
	return version, nil
}

// forget discards versions. It discards none if one of them is announced or in force, and so may still be granted.
func (s *StateMachine) forget(numbers []uint64) error {
	s.Format = formatWithDeltas
	for _, number := range numbers {
		if number == s.InForce || number == s.Announced {
			return fmt.Errorf("%w: version %d was to be forgotten, version %d is in force and version %d announced",
				errVersionNeeded, number, s.InForce, s.Announced)
		}
	}
	forgotten := func(number uint64) bool { return slices.Contains(numbers, number) }
	s.Versions = slices.DeleteFunc(s.Versions, func(v *configversion.Version) bool { return forgotten(v.Number) })
	maps.DeleteFunc(s.fallbackDurations, func(number uint64, _ Time) bool { return forgotten(number) })
	maps.DeleteFunc(s.encoded, func(number uint64, _ encodedContent) bool { return forgotten(number) })
	return nil
}

// ReleaseParsed drops the parsed form of versions before the one in force, to save memory. They are parsed again on
// demand.
func (s *StateMachine) ReleaseParsed() {
	for _, v := range s.Versions {
		if v.Number < s.InForce {
			v.ReleaseParsed()
		}
	}
}

// fallbackDuration returns how long the fallback of a version stays valid. It is 0 if there is no such version or this
// build cannot parse it.
func (s *StateMachine) fallbackDuration(number uint64) Time {
	if duration, known := s.fallbackDurations[number]; known {
		return duration
	}
	version := s.Version(number)
	if version == nil {
		return 0
	}
	var duration Time
	// Version.Config is not used here, as it would keep the parsed form in memory.
	if config, err := configversion.Parse(version.Content); err == nil {
		duration = config.FallbackPolicy.Duration
	}
	s.fallbackDurations[number] = duration
	return duration
}

// longestFallback returns the longest fallback duration of all versions that are kept. No gateway can have a longer
// fallback in effect.
func (s *StateMachine) longestFallback() Time {
	var longest Time
	for _, v := range s.Versions {
		longest = max(longest, s.fallbackDuration(v.Number))
	}
	return longest
}

// sortedNames returns the elements of a set in ascending order.
func sortedNames(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
