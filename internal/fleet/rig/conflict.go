package rig

import (
	"fmt"
	"slices"
	"strings"

	"irispost/internal/fleet/configversion"
)

// conflictFinder finds conflicts between what gateways act on, from the contents of the versions alone.
type conflictFinder struct {
	configurations map[uint64]*configversion.Config // by version number
	results        map[string]string                // cached results of conflict, by what two gateways act on
}

func newConflictFinder(versions []*configversion.Version) (*conflictFinder, error) {
	finder := &conflictFinder{
		configurations: map[uint64]*configversion.Config{},
		results:        map[string]string{},
	}
	for _, version := range versions {
		configuration, err := version.Config()
		if err != nil {
			return nil, err
		}
		finder.configurations[version.Number] = configuration
	}
	return finder, nil
}

// conflict describes in what two gateways conflict. It returns "" if they do not, in particular if one of them serves
// nothing.
func (f *conflictFinder) conflict(a, b Activation) string {
	if len(a.Versions) == 0 || len(b.Versions) == 0 {
		return ""
	}
	key := fmt.Sprint(a.Versions, a.Fallback, b.Versions, b.Fallback)
	if text, known := f.results[key]; known {
		return text
	}
	text := strings.Join(f.conflicts(a, b), "; ")
	f.results[key] = text
	return text
}

// conflicts lists the conflicts between what two gateways act on. There are none if both stay within one version that
// either of them acts on.
func (f *conflictFinder) conflicts(a, b Activation) []string {
	effectiveA, effectiveB := f.effective(a), f.effective(b)
	for _, number := range slices.Concat(a.Versions, b.Versions) {
		version := f.configurations[number]
		if version == nil {
			continue
		}
		exceedsA := configversion.Exceeds(effectiveA, version)
		exceedsB := configversion.Exceeds(effectiveB, version)
		if len(exceedsA) == 0 && len(exceedsB) == 0 {
			return nil
		}
	}
	return configversion.Conflicts(effectiveA, effectiveB)
}

// effective returns the configuration that a gateway acts on: the intersection of its versions or of their fallbacks.
// Without a known version it allows nothing.
func (f *conflictFinder) effective(activation Activation) *configversion.Config {
	var effective *configversion.Config
	for _, number := range activation.Versions {
		configuration := f.configurations[number]
		if configuration == nil {
			continue
		}
		if activation.Fallback {
			configuration = configuration.Fallback()
		}
		if effective == nil {
			effective = configuration
		} else {
			effective = configversion.Intersect(effective, configuration)
		}
	}
	if effective == nil {
		return (&configversion.Config{}).DenyAll()
	}
	return effective
}
