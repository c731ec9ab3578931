package result

import (
	"net/http"
	"slices"
	"strconv"
)

// Code is the number of a result. The thousands digit is its category: 1 the request
// itself, 2 authentication and limits, 3 not available or overloaded, 4 endpoints and
// their answers, 5 configuration and operators, 6 settings, 7 peers, 9 internal errors.
type Code int

// Requests that are not valid.
const (
	MalformedBody    Code = 1001
	UnknownField     Code = 1002
	InvalidValue     Code = 1003
	BodyTooLarge     Code = 1004
	UnknownModel     Code = 1005
	UnknownAdapter   Code = 1007
	ContextTooLong   Code = 1008
	BadPriority      Code = 1009
	BadTimeout       Code = 1010
	BadEventID       Code = 1011
	RunNotFound      Code = 1012
	UnknownPath      Code = 1013
	MethodNotAllowed Code = 1014
	UnknownTicket    Code = 1015
	TicketMismatch   Code = 1016
	TicketExpired    Code = 1017
	TicketAnswerGone Code = 1018
	HeaderTooLarge   Code = 1019
	BodyTimeout      Code = 1020
	BadResumes       Code = 1021
	AmbiguousHeader  Code = 1022
	UnclearBody      Code = 1023
)

// Authentication and limits of client accounts.
const (
	MissingKey       Code = 2001
	UnknownKey       Code = 2002
	AccountSuspended Code = 2003
	RequestRate      Code = 2004
	TokenRate        Code = 2005
	ConcurrentRuns   Code = 2006
)

// Requests that can't be served now.
const (
	Overloaded         Code = 3001
	Shed               Code = 3002
	DeadlineUnmeetable Code = 3003
	DeadlinePassed     Code = 3004
	NoEndpoint         Code = 3005
	Draining           Code = 3006
	NodeStale          Code = 3007
	UnknownService     Code = 3008
	ExecutorGone       Code = 3009
	CallerDisconnected Code = 3010
	Quarantined        Code = 3011
	NoEndpointInRegion Code = 3012
	PathLost           Code = 3013
	// NoEndpointOfRelease is used for streams, which continue only at the release that began them.
	NoEndpointOfRelease Code = 3014
	StreamUnknown       Code = 3015
)

// Failures of endpoints and of their answers.
const (
	EndpointUnreachable Code = 4001
	EndpointFailed      Code = 4002
	EndpointRejected    Code = 4003
	AnswerOfOtherRun    Code = 4004
	VersionMismatch     Code = 4005
	AnswerTruncated     Code = 4006
	AnswerMalformed     Code = 4007
	ServiceCallFailed   Code = 4008
	ReleaseMismatch     Code = 4009
)

// Configuration and operators.
const (
	RevisionConflict   Code = 5001
	UnknownObject      Code = 5002
	InvalidObject      Code = 5003
	OutcomeUnknown     Code = 5004
	LogUnavailable     Code = 5005
	OperatorCredential Code = 5006
	StillReferenced    Code = 5007
	WatchTooSlow       Code = 5008
	WatchOffsetGone    Code = 5009
	UnknownRequest     Code = 5010
	ChangeExpired      Code = 5011
)

// Settings of a process.
const (
	SettingUnknown  Code = 6001
	SettingType     Code = 6002
	SettingUnit     Code = 6003
	SettingConflict Code = 6004
	SettingMissing  Code = 6005
	SettingInvalid  Code = 6006
	// ExperimentConflict is used for experiment files.
	ExperimentConflict Code = 6007
)

// Exchanges between nodes.
const (
	PeerKey    Code = 7001
	PeerMethod Code = 7002
	// PeerEnvelope is used for requests that one node passes to another.
	PeerEnvelope Code = 7003
)

// Internal is an internal error of the daemon.
const Internal Code = 9001

// statusCallerGone is the conventional status for a caller that closed its connection.
// It is only visible in logs.
const statusCallerGone = 499

// Info describes a code.
type Info struct {
	Code Code
	// Name is the code's short name, as in "unknown_model".
	Name string
	// Status is the HTTP status that the code is sent with.
	Status int
	// RunState is the run state of an error with this code, unless the error has
	// another.
	RunState RunState
	// Retry reports whether sending the same request again is safe and may succeed.
	Retry bool
	// Meaning describes in one sentence what happened.
	Meaning string
	// Action describes in one sentence what to do.
	Action string
}

var (
	byCode = indexInfos(table, func(i Info) Code { return i.Code })
	byName = indexInfos(table, func(i Info) string { return i.Name })
)

func indexInfos[K comparable](infos []Info, key func(Info) K) map[K]Info {
	index := make(map[K]Info, len(infos))
	for _, info := range infos {
		index[key(info)] = info
	}
	return index
}

// Info returns the description of c; an unknown code is described as Internal.
func (c Code) Info() Info {
	info, ok := byCode[c]
	if !ok {
		return byCode[Internal]
	}
	return info
}

// String returns the short name of c.
func (c Code) String() string { return c.Info().Name }

// Type returns the OpenAI error type that c is sent with.
func (c Code) Type() string {
	switch status := c.Info().Status; {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// Lookup returns the description of the code with a number or short name.
func Lookup(text string) (Info, bool) {
	if info, ok := byName[text]; ok {
		return info, true
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		return Info{}, false
	}
	info, ok := byCode[Code(number)]
	return info, ok
}

// All returns the descriptions of all codes, sorted by number.
func All() []Info { return slices.Clone(table) }
