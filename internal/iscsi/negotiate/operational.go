package negotiate

import (
	"strconv"
	"strings"

	"irispost/internal/iscsi"
)

// SessionNameKey is a private extension key (RFC 7143, 13.23) that requests the name of the session in the gateway.
const SessionNameKey = "X-org.irispost.session"

const (
	notUnderstood = "NotUnderstood"
	digestCRC32C  = "CRC32C"
	digestNone    = "None"
)

// Bounds of numerical values (RFC 7143, 13).
const (
	minSegment = 512
	max24Bits  = 1<<24 - 1
	max16Bits  = 1<<16 - 1
	maxSeconds = 3600
	maxLevel   = 2 // ErrorRecoveryLevel
)

// negotiateOperationalKey returns the value of the response to an operational key (RFC 7143, 13), or "" if the key
// needs no response.
func (l *Login) negotiateOperationalKey(pair iscsi.Pair) (string, *Rejection) {
	ours := &l.options.Params
	switch pair.Key {
	case "HeaderDigest":
		return l.negotiateDigest(pair, &l.Params.HeaderDigest)
	case "DataDigest":
		return l.negotiateDigest(pair, &l.Params.DataDigest)
	case "InitialR2T":
		theirs, rejection := parseBool(pair)
		l.Params.InitialR2T = theirs || ours.InitialR2T
		return formatBool(l.Params.InitialR2T), rejection
	case "ImmediateData":
		theirs, rejection := parseBool(pair)
		l.Params.ImmediateData = theirs && ours.ImmediateData
		return formatBool(l.Params.ImmediateData), rejection
	case "DataPDUInOrder", "DataSequenceInOrder":
		_, rejection := parseBool(pair)
		return formatBool(true), rejection
	case keyMaxSegment:
		theirs, rejection := parseNumber(pair, minSegment, max24Bits)
		l.Params.PeerMaxSegment = theirs
		return "", rejection
	case "MaxBurstLength":
		return negotiateMinimum(pair, ours.MaxBurst, &l.Params.MaxBurst, minSegment, max24Bits)
	case "FirstBurstLength":
		return negotiateMinimum(pair, ours.FirstBurst, &l.Params.FirstBurst, minSegment, max24Bits)
	case "MaxOutstandingR2T":
		return negotiateMinimum(pair, ours.MaxOutstandingR2T, &l.Params.MaxOutstandingR2T, 1, max16Bits)
	case "MaxConnections":
		_, rejection := parseNumber(pair, 1, max16Bits)
		return "1", rejection
	case "ErrorRecoveryLevel":
		_, rejection := parseNumber(pair, 0, maxLevel)
		return "0", rejection
	case "DefaultTime2Wait":
		theirs, rejection := parseNumber(pair, 0, maxSeconds)
		l.Params.TimeToWait = max(theirs, ours.TimeToWait)
		return strconv.Itoa(l.Params.TimeToWait), rejection
	case "DefaultTime2Retain":
		return negotiateMinimum(pair, ours.TimeToRetain, &l.Params.TimeToRetain, 0, maxSeconds)
	case SessionNameKey:
		if l.options.SessionName != nil {
			return l.options.SessionName(), nil
		}
	case keyPortalGroup, "TargetAddress", "TargetAlias":
		return "", initiatorError("only the target may send %s", pair.Key)
	}
	return notUnderstood, nil
}

// negotiateMinimum negotiates a number whose result is the smaller of the two sides' values, and stores the result.
func negotiateMinimum(pair iscsi.Pair, ours int, parameter *int, least, most int) (string, *Rejection) {
	theirs, rejection := parseNumber(pair, least, most)
	if rejection == nil {
		*parameter = min(theirs, ours)
	}
	return strconv.Itoa(*parameter), rejection
}

// negotiateDigest selects the first digest of the initiator's list that the target supports.
func (l *Login) negotiateDigest(pair iscsi.Pair, parameter *bool) (string, *Rejection) {
	for _, digest := range strings.Split(pair.Value, ",") {
		if digest == digestNone || digest == digestCRC32C && l.options.Digests {
			*parameter = digest == digestCRC32C
			return digest, nil
		}
	}
	return "", initiatorError("%s=%.40s: none of these digests is supported", pair.Key, pair.Value)
}

func parseNumber(pair iscsi.Pair, least, most int) (int, *Rejection) {
	number, err := strconv.ParseInt(pair.Value, 0, 32)
	if err != nil || number < int64(least) || number > int64(most) {
		return 0, initiatorError("%s=%.40s is not a number from %d to %d", pair.Key, pair.Value, least, most)
	}
	return int(number), nil
}

func parseBool(pair iscsi.Pair) (bool, *Rejection) {
	switch pair.Value {
	case "Yes":
		return true, nil
	case "No":
		return false, nil
	}
	return false, initiatorError("%s=%.40s is neither Yes nor No", pair.Key, pair.Value)
}

func formatBool(value bool) string {
	if value {
		return "Yes"
	}
	return "No"
}
