package negotiate

import (
	"fmt"
	"strconv"
	"strings"

	"irispost/internal/iscsi"
)

// Limits of a login.
const (
	maxRequests   = 32
	maxTextLength = 64 << 10 // bytes of text, over all requests that continue it
	maxNameLength = 223      // bytes of an iSCSI name
)

// Keys that are handled by the login itself and not only negotiated.
const (
	keyInitiatorName = "InitiatorName"
	keyTargetName    = "TargetName"
	keySessionType   = "SessionType"
	keyAuthMethod    = "AuthMethod"
	keyPortalGroup   = "TargetPortalGroupTag"
	keyMaxSegment    = "MaxRecvDataSegmentLength"
	chapPrefix       = "CHAP_"
)

// Login is the target's side of a login. Params, Initiator, Target and Discovery are final once the stage is
// FullFeature.
type Login struct {
	options            Options
	stage              Stage
	started            bool
	requestCount       int
	text               []byte          // received so far of a text that spans several requests
	processed          map[string]bool // keys received or sent so far; only CHAP keys may be repeated
	maxSegmentDeclared bool            // whether this target has sent its MaxRecvDataSegmentLength

	account   Account
	chap      chapState
	challenge []byte
	chapID    byte // CHAP_I of the target's challenge, and later of the initiator's

	Params    Params
	Initiator string
	Target    string
	Discovery bool // discovery session: it has no target and only lists the targets
}

// NewLogin returns a login that has not received a request yet.
func NewLogin(options Options) *Login {
	return &Login{options: options, Params: Defaults, processed: map[string]bool{}}
}

// Stage returns the current stage.
func (l *Login) Stage() Stage { return l.stage }

// Request is the content of a login request.
type Request struct {
	Current, Next Stage
	Transit       bool // requests the transition to stage Next
	Continue      bool // the text continues in the next request
	Text          []byte
}

// Response is the content of a login response.
type Response struct {
	Current, Next Stage
	Transit       bool
	Pairs         []iscsi.Pair
}

// Step processes a login request and returns the response. A rejection ends the login.
func (l *Login) Step(request Request) (response Response, rejection *Rejection) {
	if rejection := l.checkStage(request); rejection != nil {
		return response, rejection
	}
	l.text = append(l.text, request.Text...)
	if len(l.text) > maxTextLength {
		return response, initiatorError("login text exceeds %d bytes", maxTextLength)
	}
	response.Current, response.Next = l.stage, request.Next
	if request.Continue {
		if request.Transit {
			return response, initiatorError("Continue and Transit are both set")
		}
		return response, nil
	}
	pairs, err := iscsi.DecodeText(l.text)
	l.text = nil
	if err != nil {
		return response, initiatorError("%v", err)
	}
	if rejection := l.processPairs(pairs, &response); rejection != nil {
		return response, rejection
	}
	if request.Transit {
		rejection = l.transition(request.Next, &response)
	}
	return response, rejection
}

// checkStage counts a request and checks that its current stage is that of the login.
func (l *Login) checkStage(request Request) *Rejection {
	l.requestCount++
	if l.requestCount > maxRequests {
		return initiatorError("login not complete after %d requests", maxRequests)
	}
	if !l.started {
		if request.Current != Security && request.Current != Operational {
			return initiatorError("login begins in stage %d", request.Current)
		}
		l.stage = request.Current
		l.started = true
	}
	if request.Current != l.stage {
		return initiatorError("request for stage %d received in stage %d", request.Current, l.stage)
	}
	return nil
}

// processPairs processes the pairs of a complete text and adds the responses to them.
func (l *Login) processPairs(pairs []iscsi.Pair, response *Response) *Rejection {
	if rejection := l.readNames(pairs); rejection != nil {
		return rejection
	}
	for _, pair := range pairs {
		responses, rejection := l.processKey(pair)
		if rejection != nil {
			return rejection
		}
		response.Pairs = append(response.Pairs, responses...)
	}
	if l.stage == Security && l.chap == chapNotStarted && !l.processed[keyAuthMethod] && l.account.Secret == "" {
		l.chap = chapAuthenticated
	}
	return nil
}

// readNames reads the names of the initiator and the target and the session type, which the first text must contain.
func (l *Login) readNames(pairs []iscsi.Pair) *Rejection {
	if l.Initiator != "" {
		return nil
	}
	for _, pair := range pairs {
		switch pair.Key {
		case keyInitiatorName:
			l.Initiator = pair.Value
		case keyTargetName:
			l.Target = pair.Value
		case keySessionType:
			if pair.Value != "Discovery" && pair.Value != "Normal" {
				return initiatorError("SessionType=%s", pair.Value)
			}
			l.Discovery = l.Discovery || pair.Value == "Discovery"
		}
	}
	switch {
	case l.Initiator == "" || len(l.Initiator) > maxNameLength:
		return missingParameter("InitiatorName is missing or too long")
	case !l.Discovery && l.Target == "":
		return missingParameter("TargetName is missing")
	case !l.Discovery && !l.options.TargetExists(l.Target):
		reason := fmt.Sprintf("target %q does not exist", l.Target)
		return &Rejection{Class: ClassInitiatorError, Detail: DetailTargetNotFound, Reason: reason}
	}
	l.account = l.options.AccountFor(l.Initiator, l.Target)
	if l.stage == Operational && l.account.Secret != "" {
		return authenticationFailure("the initiator skipped the security stage, but the target requires CHAP")
	}
	return nil
}

// transition moves to the next stage. Until a required CHAP authentication has succeeded, the login stays in the
// security stage without a rejection.
func (l *Login) transition(next Stage, response *Response) *Rejection {
	if next != Operational && next != FullFeature || next <= l.stage {
		return initiatorError("invalid transition to stage %d from stage %d", next, l.stage)
	}
	if l.stage == Security && l.account.Secret != "" && l.chap != chapAuthenticated {
		if l.chap == chapNotStarted && l.processed[keyAuthMethod] {
			return authenticationFailure("the initiator ended the security stage without CHAP")
		}
		return nil
	}
	if next == FullFeature && !l.maxSegmentDeclared {
		l.maxSegmentDeclared = true
		l.Params.OwnMaxSegment = l.options.Params.OwnMaxSegment
		response.add(keyMaxSegment, strconv.Itoa(l.options.Params.OwnMaxSegment))
	}
	if !l.Discovery && !l.processed[keyPortalGroup] {
		l.processed[keyPortalGroup] = true
		response.add(keyPortalGroup, strconv.Itoa(l.options.PortalGroupTag))
	}
	l.Params.FirstBurst = min(l.Params.FirstBurst, l.Params.MaxBurst)
	l.stage = next
	response.Transit = true
	response.Next = next
	return nil
}

func (r *Response) add(key, value string) {
	r.Pairs = append(r.Pairs, iscsi.Pair{Key: key, Value: value})
}

// processKey processes a key and returns any number of pairs as the response. Only CHAP keys may be repeated.
func (l *Login) processKey(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	isCHAP := strings.HasPrefix(pair.Key, chapPrefix)
	if l.processed[pair.Key] && !isCHAP {
		return nil, initiatorError("key %s is repeated", pair.Key)
	}
	if isCHAP || pair.Key == keyAuthMethod {
		if l.stage != Security {
			return nil, initiatorError("key %s outside the security stage", pair.Key)
		}
		return l.processSecurityKey(pair)
	}
	l.processed[pair.Key] = true
	switch pair.Key {
	case keyInitiatorName, "InitiatorAlias", keyTargetName, keySessionType:
		return nil, nil // declarative: no response
	}
	value, rejection := l.negotiateOperationalKey(pair)
	if rejection != nil || value == "" {
		return nil, rejection
	}
	return []iscsi.Pair{{Key: pair.Key, Value: value}}, nil
}
