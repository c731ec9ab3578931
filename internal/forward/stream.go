package forward

import (
	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
)

// resumesStream reports whether the caller resumes a stream that an earlier request of its began.
func (x *exchange) resumesStream() bool {
	states := x.attrs.Resumes != "" || x.attrs.ResumesInvalid || x.attrs.ResumeAfter != ""
	return states && x.route.Kind == routing.Stream && x.route.Resumable
}

// bindStream confines a request that resumes a stream to the service and release that began it. Its errors
// are refusals of requests that have not run.
func (x *exchange) bindStream() *result.Error {
	switch {
	case x.release != "": // another node passed the request, and states the release
		return x.bindService(x.passed.Service)
	case !x.resumesStream():
		return nil
	case x.attrs.ResumesInvalid:
		return result.New(result.BadResumes)
	}
	service := x.route.SoleService(x.Clock.Now().Add(-x.ResumeTime()))
	found := x.Origins.Find(x.r.Context(), x.originKey(x.attrs.Resumes), service)
	x.found = &found
	switch {
	case found.Source != origin.NotFound:
		x.release = found.Release
		return x.bindService(found.Service)
	case !found.IsFinal(): // another node may reach those that have not answered
		return result.New(result.StreamUnknown, result.WithRetryAfter(retryAfterOtherNode))
	}
	return result.New(result.StreamUnknown)
}

// bindService has the request served by the given service, as the stream began there. It fails if the route
// doesn't lead there any more.
func (x *exchange) bindService(name string) *result.Error {
	if name == x.service.Name {
		return nil
	}
	service := x.config.Service(name)
	if service == nil || !x.route.LeadsTo(name) {
		return result.New(result.NoEndpointOfRelease)
	}
	x.service = service
	return nil
}

// recordOrigin records which release begins the caller's stream, unless an earlier request did. A node that
// passed the request on leaves this to the one that sent it to an endpoint.
func (x *exchange) recordOrigin() {
	if x.helper != "" {
		return
	}
	if x.release == "" {
		x.release = x.placement.Member.Endpoint().Release
	}
	if x.route.Resumable && x.release != "" {
		x.Origins.Record(x.originKey(x.attrs.ID), origin.Origin{Service: x.service.Name, Release: x.release})
	}
}

// originKey returns the key of a request of the caller, or the zero key for an empty id.
func (x *exchange) originKey(id string) origin.Key {
	if id == "" {
		return origin.Key{}
	}
	return origin.KeyOf(x.accountName(), id)
}
