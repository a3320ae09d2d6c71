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

// Fields of a request that the gateway reads, in lower case.
const (
	fieldRequestID = "x-request-id"
	fieldClass     = "x-class"
	fieldPlan      = "x-plan"
	fieldDeadline  = "x-deadline-ms"
	fieldIO        = "x-io"
)

// maxDeadline is the longest deadline that is accepted.
const maxDeadline = 24 * time.Hour

// maxIDBytes is the longest request id that is accepted.
const maxIDBytes = 64

// hexDigits is the length of an extent or volume in hexadecimal.
const hexDigits = 16

// catalog is what the settings name. A request that asks for something else is rejected.
type catalog struct {
	serviceLevels, requestClasses map[string]bool
	maxUnits                      float64 // of one request; 0: not stated
}

func newCatalog(settings scheduler.Settings) catalog {
	names := func(list string) map[string]bool {
		set := map[string]bool{}
		count, _ := strconv.Atoi(settings[list+".count"]) // without a count there are none
		for i := range count {
			set[settings[list+"."+strconv.Itoa(i)+".name"]] = true
		}
		return set
	}
	maxUnits, _ := strconv.ParseFloat(settings["units.largest"], 64) // 0 where it is not stated
	return catalog{serviceLevels: names("plans"), requestClasses: names("products"), maxUnits: maxUnits}
}

func badRequest(reason string) error {
	return &http1.Error{Status: http.StatusBadRequest, Reason: reason}
}

// parseSpec turns a request into what the loop is given. Its Deadline is the time that is left, not yet a point in
// time.
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

// unforwardedFields are the fields that concern the client and the gateway alone (RFC 9110, 7.6.1), or that the gateway writes
// itself.
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

// forwardedFields are the names and values of the fields that are forwarded to a storage node unchanged, above all the
// idempotency key by which it knows a retry.
func forwardedFields(fields http1.Fields) (namesAndValues []string) {
	for _, f := range fields {
		if !unforwardedFields[f.Name] && !fields.HasToken("connection", f.Name) {
			namesAndValues = append(namesAndValues, f.Name, f.Value)
		}
	}
	return namesAndValues
}

// parseIO reads the X-IO field, "volume=...,units=...,shard=...,hosts=...", into the spec. All four are required, none
// may stand twice, and others are ignored.
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

// parseHex reads exactly 16 hexadecimal digits.
func parseHex(text string) (uint64, bool) {
	if len(text) != hexDigits {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 16, 64)
	return value, err == nil
}

// isID reports whether a text is a request id that can be forwarded as it is.
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
