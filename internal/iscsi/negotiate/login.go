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
	maxTextLength = 64 << 10 // bytes of the text of one request in parts
	maxNameLength = 223      // bytes of an iSCSI name
)

// Keys that the login itself acts on.
const (
	keyInitiatorName = "InitiatorName"
	keyTargetName    = "TargetName"
	keySessionType   = "SessionType"
	keyAuthMethod    = "AuthMethod"
	keyPortalGroup   = "TargetPortalGroupTag"
	keyMaxSegment    = "MaxRecvDataSegmentLength"
	chapPrefix       = "CHAP_"
)

// Login is a target's side of a login. Params, Initiator, Target and Discovery are final when it has reached
// FullFeature.
type Login struct {
	options            Options
	stage              Stage
	started            bool
	requestCount       int
	text               []byte          // of a request whose rest follows
	processed          map[string]bool // keys that were answered, each once
	maxSegmentDeclared bool            // ours

	account   Account
	chap      chapState
	challenge []byte
	chapID    byte // of the challenge, ours and then the initiator's

	Params    Params
	Initiator string
	Target    string
	Discovery bool // no target: the initiator asks for the list of targets only
}

// NewLogin returns a login that has not begun.
func NewLogin(options Options) *Login {
	return &Login{options: options, Params: Defaults, processed: map[string]bool{}}
}

// Stage returns the login's stage.
func (l *Login) Stage() Stage { return l.stage }

// Request is what a login request says.
type Request struct {
	Current, Next Stage
	Transit       bool // to stage Next
	Continue      bool // the text goes on in the next request
	Text          []byte
}

// Response is the content of a login response.
type Response struct {
	Current, Next Stage
	Transit       bool
	Pairs         []iscsi.Pair
}

// Step handles a request. A rejection ends the login.
func (l *Login) Step(request Request) (response Response, rejection *Rejection) {
	if rejection := l.checkStage(request); rejection != nil {
		return response, rejection
	}
	l.text = append(l.text, request.Text...)
	if len(l.text) > maxTextLength {
		return response, initiatorError("over %d bytes of text", maxTextLength)
	}
	response.Current, response.Next = l.stage, request.Next
	if request.Continue {
		if request.Transit {
			return response, initiatorError("a text that goes on and a stage that ends")
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

// begin checks that a request comes in its stage.
func (l *Login) checkStage(request Request) *Rejection {
	l.requestCount++
	if l.requestCount > maxRequests {
		return initiatorError("no end after %d requests", maxRequests)
	}
	if !l.started {
		if request.Current != Security && request.Current != Operational {
			return initiatorError("it begins in stage %d", request.Current)
		}
		l.stage = request.Current
		l.started = true
	}
	if request.Current != l.stage {
		return initiatorError("a request of stage %d in stage %d", request.Current, l.stage)
	}
	return nil
}

// answerAll answers the keys of a complete text.
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

// readNames reads who logs in at which target, which the first text has to say.
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
		return missingParameter("it does not say its InitiatorName")
	case !l.Discovery && l.Target == "":
		return missingParameter("it does not say which TargetName")
	case !l.Discovery && !l.options.TargetExists(l.Target):
		reason := fmt.Sprintf("there is no target %q", l.Target)
		return &Rejection{Class: ClassInitiatorError, Detail: DetailTargetNotFound, Reason: reason}
	}
	l.account = l.options.AccountFor(l.Initiator, l.Target)
	if l.stage == Operational && l.account.Secret != "" {
		return authenticationFailure("it does not prove who it is")
	}
	return nil
}

// transition ends a stage. The security stage goes on, without a rejection, while the initiator has not authenticated.
func (l *Login) transition(next Stage, response *Response) *Rejection {
	if next != Operational && next != FullFeature || next <= l.stage {
		return initiatorError("stage %d does not follow stage %d", next, l.stage)
	}
	if l.stage == Security && l.account.Secret != "" && l.chap != chapAuthenticated {
		if l.chap == chapNotStarted && l.processed[keyAuthMethod] {
			return authenticationFailure("it does not prove who it is")
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

// answerKey answers a key, with none or several. Only keys of CHAP may come twice.
func (l *Login) processKey(pair iscsi.Pair) ([]iscsi.Pair, *Rejection) {
	isCHAP := strings.HasPrefix(pair.Key, chapPrefix)
	if l.processed[pair.Key] && !isCHAP {
		return nil, initiatorError("%s is there twice", pair.Key)
	}
	if isCHAP || pair.Key == keyAuthMethod {
		if l.stage != Security {
			return nil, initiatorError("%s outside of the security stage", pair.Key)
		}
		return l.processSecurityKey(pair)
	}
	l.processed[pair.Key] = true
	switch pair.Key {
	case keyInitiatorName, "InitiatorAlias", keyTargetName, keySessionType:
		return nil, nil // declared
	}
	value, rejection := l.negotiateOperationalKey(pair)
	if rejection != nil || value == "" {
		return nil, rejection
	}
	return []iscsi.Pair{{Key: pair.Key, Value: value}}, nil
}
