package web

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"irispost/internal/backend/node"
	"irispost/internal/gateway"
	"irispost/internal/http1"
	"irispost/scheduler"
)

// Names of the request fields that the gateway reads, in lower case.
const (
	fieldRequestID = "x-request-id"
	fieldClass     = "x-class"
	fieldPlan      = "x-plan"
	fieldDeadline  = "x-deadline-ms"
	fieldIO        = "x-io"
)

// maxDeadline is the longest accepted deadline.
const maxDeadline = 24 * time.Hour

// maxIDBytes is the maximum length of a request ID.
const maxIDBytes = 64

// hexDigits is the number of hexadecimal digits of an extent or volume.
const hexDigits = 16

// catalog holds the names and limits in the settings against which requests are validated.
type catalog struct {
	serviceLevels, requestClasses map[string]bool
	maxUnits                      float64 // maximum units of one request; 0: no maximum
}

func newCatalog(settings scheduler.Settings) catalog {
	names := func(list string) map[string]bool {
		set := map[string]bool{}
		count, _ := strconv.Atoi(settings[list+".count"]) // without a count, the list is empty
		for i := range count {
			set[settings[list+"."+strconv.Itoa(i)+".name"]] = true
		}
		return set
	}
	maxUnits, _ := strconv.ParseFloat(settings["units.largest"], 64) // 0 if the setting is missing
	return catalog{serviceLevels: names("plans"), requestClasses: names("products"), maxUnits: maxUnits}
}

func badRequest(reason string) error {
	return &http1.Error{Status: http.StatusBadRequest, Reason: reason}
}

// parseSpec converts a request to the spec that is submitted to the loop. Its Deadline is relative: the time left to
// the request, not yet a time of the loop's clock.
func (c catalog) parseSpec(request *http1.Request) (*gateway.RequestSpec, error) {
	op, err := parseMethod(request)
	if err != nil {
		return nil, err
	}
	id, _ := request.Fields.Get(fieldRequestID)
	if !isID(id) {
		return nil, badRequest("not one X-Request-Id")
	}
	class, _ := request.Fields.Get(fieldClass)
	if !c.requestClasses[class] {
		return nil, badRequest("no such X-Class")
	}
	serviceLevel, _ := request.Fields.Get(fieldPlan)
	if !c.serviceLevels[serviceLevel] {
		return nil, badRequest("no such X-Plan")
	}
	deadline, err := parseDeadline(request)
	if err != nil {
		return nil, err
	}
	extent, err := parseExtent(request.Target)
	if err != nil {
		return nil, err
	}
	spec := &gateway.RequestSpec{
		Volume:   &gateway.Volume{ServiceLevel: serviceLevel, GatewayCount: 1},
		Class:    class,
		Key:      int64(extent),
		HasKey:   true,
		Deadline: deadline,
		Call: node.Call{
			Op:             op,
			Name:           request.Target,
			IdempotencyKey: id,
			Shard:          -1, // until X-IO is read
			Headers:        forwardedFields(request.Fields),
		},
	}
	ioText, _ := request.Fields.Get(fieldIO)
	if !c.parseIO(spec, ioText) {
		return nil, badRequest("an X-IO that can't be read")
	}
	return spec, nil
}

func parseMethod(request *http1.Request) (node.Operation, error) {
	switch request.Method {
	case http.MethodGet:
		if request.Framing.Bytes > 0 || request.Framing.Chunked {
			return 0, badRequest("a read with a body")
		}
		return node.GetObject, nil
	case http.MethodPut:
		return node.PutObject, nil
	}
	return 0, &http1.Error{Status: http.StatusMethodNotAllowed, Reason: "GET and PUT alone"}
}

func parseDeadline(request *http1.Request) (scheduler.Time, error) {
	text, _ := request.Fields.Get(fieldDeadline)
	millis, err := strconv.ParseUint(text, 10, 32)
	if err != nil || millis == 0 || time.Duration(millis)*time.Millisecond > maxDeadline || text[0] == '+' {
		return 0, badRequest("no X-Deadline-Ms")
	}
	return scheduler.Time(millis) * scheduler.Millisecond, nil
}

func parseExtent(target string) (uint64, error) {
	_, query, _ := strings.Cut(target, "?")
	values, err := url.ParseQuery(query)
	if err != nil || len(values["extent"]) != 1 {
		return 0, badRequest("not one extent")
	}
	extent, ok := parseHex(values["extent"][0])
	if !ok {
		return 0, badRequest("an extent that is not 16 hex digits")
	}
	return extent, nil
}

// unforwardedFields are the fields that are not forwarded to a storage node, because they apply only to the client's
// connection (RFC 9110, 7.6.1) or because the gateway writes them itself.
var unforwardedFields = map[string]bool{
	"connection":        true,
	"keep-alive":        true,
	"proxy-connection":  true,
	"te":                true,
	"trailer":           true,
	"transfer-encoding": true,
	"upgrade":           true,
	"host":              true,
	"content-length":    true,
	"expect":            true,
	fieldRequestID:      true,
	fieldDeadline:       true,
}

// forwardedFields returns the names and values of the fields that are forwarded to a storage node unchanged. The most
// important one is the idempotency key, by which the node recognizes a retry.
func forwardedFields(fields http1.Fields) (namesAndValues []string) {
	for _, f := range fields {
		if !unforwardedFields[f.Name] && !fields.HasToken("connection", f.Name) {
			namesAndValues = append(namesAndValues, f.Name, f.Value)
		}
	}
	return namesAndValues
}

// parseIO parses the X-IO field, "volume=...,units=...,shard=...,hosts=...", into the spec. All four items are
// required, no item may be repeated, and unknown items are ignored.
func (c catalog) parseIO(spec *gateway.RequestSpec, text string) bool {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || seen[name] || !c.parseIOItem(spec, name, value) {
			return false
		}
		seen[name] = true
	}
	return seen["volume"] && seen["units"] && seen["shard"] && seen["hosts"]
}

func (c catalog) parseIOItem(spec *gateway.RequestSpec, name, value string) bool {
	switch name {
	case "volume":
		volume, ok := parseHex(value)
		spec.Volume.ID = int64(volume)
		return ok
	case "units":
		units, err := strconv.ParseFloat(value, 64)
		spec.Units = units
		tooMany := c.maxUnits > 0 && units > c.maxUnits
		return err == nil && units > 0 && !math.IsInf(units, 0) && !tooMany
	case "shard":
		shard, err := strconv.ParseInt(value, 10, 31)
		spec.Call.Shard = int(shard)
		return err == nil && shard >= -1
	case "hosts":
		hosts, err := strconv.ParseUint(value, 10, 16)
		spec.Volume.GatewayCount = float64(hosts)
		return err == nil && hosts > 0
	}
	return true
}

// parseHex parses a number of exactly 16 hexadecimal digits.
func parseHex(text string) (uint64, bool) {
	if len(text) != hexDigits {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 16, 64)
	return value, err == nil
}

// isID reports whether the text is a valid request ID, which can be forwarded without escaping.
func isID(text string) bool {
	for _, c := range []byte(text) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= maxIDBytes
}
