package relay

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/arbutusline/arbutusline/fleet"
)

const (
	// reasonVersionUnknown is the reason of refusals to continue a stream because no one can
	// tell which software version began it.
	reasonVersionUnknown = "software_version_unknown"
	// reasonNotResumable is the reason of refusals to continue a stream of a route that is not
	// resumable, or not any more: its software version is not known.
	reasonNotResumable = "not_resumable"
	// reasonVersionsUnassigned is the reason of refusals because this router knows no table
	// of the software versions at which streams may begin.
	reasonVersionsUnassigned = "software_versions_unassigned"
)

// resumable reports whether the request is for a stream that may go on at another endpoint.
func (r *Request) resumable() bool { return r.Route.Kind == fleet.Stream && r.Route.Resumable }

// pinSoftwareVersion determines the software versions at which a resumable stream may begin
// or go on. It returns the reason if the request must be refused.
func (x *execution) pinSoftwareVersion(ctx context.Context) (reason string) {
	switch {
	case !x.req.resumable() && x.req.Route.Kind == fleet.Stream && x.req.LastEventID != "":
		return reasonNotResumable
	case !x.req.resumable():
	case x.req.LastEventID == "":
		if x.softwareVersions = x.relay.versions.Begin(ctx, x.req.Service, x.req.ID, x.req.CallerTimeout); len(x.softwareVersions) == 0 {
			return reasonVersionsUnassigned
		}
	default:
		version, known := x.relay.versions.Resume(ctx, x.req.Service, x.req.Resumes, x.req.ArrivedAt)
		if !known {
			x.log().WithFields(logrus.Fields{"resumes": x.req.Resumes, "after_event": x.req.LastEventID}).Warn("stream not continued because its software version is unknown")
			return reasonVersionUnknown
		}
		x.softwareVersions = []string{version}
	}
	return ""
}

// fixSoftwareVersion keeps a stream, of which the caller is about to get the first event, at
// the software version of its endpoint.
func (a *attempt) fixSoftwareVersion() {
	if a.headerSent || !a.req.resumable() {
		return
	}
	version := a.choice.Endpoint.SoftwareVersion
	a.relay.mu.Lock()
	a.softwareVersions = []string{version}
	a.relay.mu.Unlock()
	if id := a.req.streamID(); id != "" {
		a.relay.versions.Record(a.req.Service, id, version)
	}
}

// streamID returns the ID of the request that began the stream, or "" if the caller takes it up
// without naming that request.
func (r *Request) streamID() string {
	if r.LastEventID == "" {
		return r.ID
	}
	return r.Resumes
}
