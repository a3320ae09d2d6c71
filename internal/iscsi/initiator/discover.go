package initiator

import (
	"context"
	"slices"
	"strings"

	"irispost/internal/iscsi"
)

// DiscoveredTarget is a target that a portal reports.
type DiscoveredTarget struct{ Name, Address string }

// Discover requests the list of targets from a portal and returns it sorted by name.
func Discover(ctx context.Context, options Options) ([]DiscoveredTarget, error) {
	options.Target = ""
	s, err := Dial(ctx, options)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }() // the result is known by now
	text, err := s.sendTargets(ctx)
	if err != nil {
		return nil, err
	}
	pairs, err := iscsi.DecodeText(text)
	var targets []DiscoveredTarget
	for _, pair := range pairs {
		switch pair.Key {
		case "TargetName":
			targets = append(targets, DiscoveredTarget{Name: pair.Value})
		case "TargetAddress":
			if len(targets) > 0 {
				address, _, _ := strings.Cut(pair.Value, ",") // without the portal group tag
				targets[len(targets)-1].Address = address
			}
		}
	}
	slices.SortFunc(targets, func(a, b DiscoveredTarget) int { return strings.Compare(a.Name, b.Name) })
	return targets, err
}

// sendTargets requests all targets (SendTargets=All) and returns the text of the response.
func (s *Session) sendTargets(ctx context.Context) ([]byte, error) {
	s.lock.Lock()
	tag := s.newTag()
	answer := make(chan []byte, 1)
	s.pendingTexts[tag] = answer
	pdu := s.newRequest(iscsi.TextRequest, iscsi.Final, tag).
		SetImmediate().
		SetUint32(iscsi.OffsetTransferTag, iscsi.NoTag).
		SetData(iscsi.EncodeText([]iscsi.Pair{{Key: "SendTargets", Value: "All"}}))
	s.lock.Unlock()
	if err := s.write(pdu); err != nil {
		return nil, err
	}
	select {
	case text, answered := <-answer:
		if !answered {
			return nil, s.Err()
		}
		return text, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
