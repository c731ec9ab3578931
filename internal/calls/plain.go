package calls

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/hostplan"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

const (
	dialTimeout    = time.Second
	maxIdlePerHost = 64
	idleTimeout    = time.Minute
	maxAnswerBytes = 64 << 20
	// answersMemory bounds the memory, in bytes, of all answers together: that of the largest one while its buffer grows.
	answersMemory = 2 * (maxAnswerBytes + 1)
	maxAttempts   = 3
	// avoidDuration is the time for which an unreachable endpoint is tried last.
	avoidDuration = 2 * time.Second

	headerRequestID   = "X-Request-Id"
	headerContentType = "Content-Type"
)

// Directory provides the latest configuration.
type Directory interface {
	View() *config.View
}

// LeavingHosts reports which hosts are leaving.
type LeavingHosts interface {
	// HostLeaving reports whether the endpoint's host is leaving and gets no new work.
	HostLeaving(endpoint *pb.Endpoint) bool
}

// plainClient calls plain services. It is safe for concurrent use.
type plainClient struct {
	directory Directory
	leaving   LeavingHosts
	budget    runs.Budget
	http      *http.Client
	answers   *hostplan.Pool // memory of answers' bodies

	mu         sync.Mutex
	avoidUntil map[string]time.Time // by endpoint name: the time until which it is tried last
}

// newPlainClient returns a client without open connections.
func newPlainClient(directory Directory, leaving LeavingHosts, budget runs.Budget) *plainClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &plainClient{
		directory:  directory,
		leaving:    leaving,
		budget:     budget,
		http:       &http.Client{Transport: answerhead.NewTransport(transport), CheckRedirect: noRedirects},
		answers:    hostplan.NewPool(answersMemory),
		avoidUntil: make(map[string]time.Time),
	}
}

// Call calls a service within call.TimeLeft.
func (p *plainClient) Call(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.TimeLeft)
	defer cancel()
	return p.callUntil(ctx, call)
}

// callUntil calls a service until ctx ends. A call that did not reach an endpoint is sent to
// another one, and a call that may have run is repeated only if it is declared idempotent, both within
// maxAttempts and the retry budget.
func (p *plainClient) callUntil(ctx context.Context, call *ServiceCall) (*ServiceAnswer, error) {
	endpoints := p.endpoints(call.Service)
	if len(endpoints) == 0 {
		return nil, p.noEndpointError(call.Service)
	}
	var err error
	mayHaveRun := false // whether any attempt may have run
	for attempt, e := range endpoints[:min(len(endpoints), maxAttempts)] {
		if attempt > 0 && !p.budget.Retry() {
			break
		}
		var answer *ServiceAnswer
		answer, err = p.send(ctx, e, call)
		if err == nil {
			if attempt == 0 {
				p.budget.Succeeded()
			}
			return answer, nil
		}
		p.recordFailure(e, err)
		mayHaveRun = mayHaveRun || result.From(err).RunState != result.NotRun
		if !mayRetry(ctx, e, call, err) {
			break
		}
	}
	if last := result.From(err); mayHaveRun && last.RunState == result.NotRun {
		err = result.Wrap(err, last.Code, result.WithRunState(result.MayHaveRun))
	}
	return nil, err
}

func (p *plainClient) noEndpointError(service string) error {
	for _, item := range p.directory.View().Items(config.KindEndpoint) {
		if e, ok := item.Value.(*pb.Endpoint); ok && e.GetService() == service {
			return result.New(result.NoEndpoint, result.WithField("service"))
		}
	}
	return result.New(result.UnknownService, result.WithField("service"))
}

// endpoints returns the endpoints that accept the call, in the order in which to try them.
func (p *plainClient) endpoints(service string) []*pb.Endpoint {
	var available []*pb.Endpoint
	for _, e := range p.directory.View().Services(service) {
		if !p.leaving.HostLeaving(e) {
			available = append(available, e)
		}
	}
	rand.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	return p.avoidedLast(available)
}

// avoidedLast moves the endpoints that were unreachable in the last avoidDuration to the end.
func (p *plainClient) avoidedLast(endpoints []*pb.Endpoint) []*pb.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var first, last []*pb.Endpoint
	for _, e := range endpoints {
		if now.Before(p.avoidUntil[e.GetName()]) {
			last = append(last, e)
		} else {
			first = append(first, e)
		}
	}
	return append(first, last...)
}

func (p *plainClient) recordFailure(e *pb.Endpoint, err error) {
	if !result.Is(err, result.EndpointUnreachable) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	p.avoidUntil[e.GetName()] = now.Add(avoidDuration)
}

func mayRetry(ctx context.Context, e *pb.Endpoint, call *ServiceCall, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	return result.From(err).RunState == result.NotRun || idempotent(e, call)
}

// idempotent reports whether the operators declared the call idempotent, as "METHOD /path-prefix".
// A path with dot segments does not count, since the service may resolve it to one without the prefix.
func idempotent(e *pb.Endpoint, call *ServiceCall) bool {
	if !hasNoDotSegments(call.Path) {
		return false
	}
	for _, declared := range e.GetIdempotent() {
		method, prefix, _ := strings.Cut(declared, " ")
		if method == call.Method && strings.HasPrefix(call.Path, prefix) {
			return true
		}
	}
	return false
}

// hasNoDotSegments reports whether an escaped path contains no "." or ".." segments, also after
// unescaping, with a backslash as separator, or followed by ";" parameters, which some servers
// strip.
func hasNoDotSegments(escaped string) bool {
	escaped, _, _ = strings.Cut(escaped, "?")
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return false
	}
	for segment := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' || r == '\\' }) {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return false
		}
	}
	return true
}

// send makes one attempt. The body has no GetBody function, so that net/http can't repeat the
// request by itself.
func (p *plainClient) send(ctx context.Context, e *pb.Endpoint, call *ServiceCall) (*ServiceAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, e.GetUrl()+call.Path, io.NopCloser(bytes.NewReader(call.Body)))
	if err != nil {
		return nil, result.Wrap(err, result.InvalidValue, result.WithField("path"))
	}
	req.ContentLength = int64(len(call.Body))
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	req.Header.Set(headerRequestID, call.RequestID)
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer resp.Body.Close()
	answer := &ServiceAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get(headerContentType)}
	answer.memory.Pool = p.answers
	if err := answer.readBody(resp.Body); err != nil {
		answer.Release()
		return nil, result.Wrap(err, result.ServiceCallFailed, result.WithRunState(result.MayHaveRun))
	}
	return answer, nil
}

// sendError converts a transport error. Only a failed dial is known not to have reached the
// endpoint.
func sendError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Wrap(err, result.EndpointUnreachable)
	}
	if ctx.Err() != nil {
		return result.Wrap(err, result.From(context.Cause(ctx)).Code, result.WithRunState(result.MayHaveRun))
	}
	return result.Wrap(err, result.ServiceCallFailed, result.WithRunState(result.MayHaveRun))
}
