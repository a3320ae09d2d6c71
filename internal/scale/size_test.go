package scale

import (
	"errors"
	"strings"
	"testing"
)

func TestCheckAcceptsSizesInUse(t *testing.T) {
	for _, size := range []Size{FullSize(), ShortSize(), growthSize()} {
		if err := size.Check(); err != nil {
			t.Error(err)
		}
	}
}

func TestCheckRejectsImpossibleSizes(t *testing.T) {
	for want, change := range map[string]func(*Size){
		"1 gateways":            func(s *Size) { s.Gateways = 1 },
		"2 replicas":            func(s *Size) { s.ReplicaRegions = []int{0, 1} },
		"a replica in region 2": func(s *Size) { s.ReplicaRegions = []int{0, 1, 2} },
		"two regions":           func(s *Size) { s.FirstRegionZones = s.Zones },
		"lease 0s":              func(s *Size) { s.Lease = 0 },
		`unknown fault "flood"`: func(s *Size) { s.Faults = []string{"flood"} },
		"at most one restart":   func(s *Size) { s.Restarts = s.Changes + 1 },
		"replacements of":       func(s *Size) { s.Replacements = s.Nodes + 1 },
	} {
		size := FullSize()
		change(&size)
		err := size.Check()
		var sizeError *SizeError
		if !errors.As(err, &sizeError) || !strings.Contains(err.Error(), want) {
			t.Errorf("want a SizeError that contains %q, got %v", want, err)
		}
	}
}
