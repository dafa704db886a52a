package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/origin"
	"godwitcart/internal/placement"
	"godwitcart/internal/policy"
)

// Origins remembers at which service and software version resumable streams began.
type Origins interface {
	// Publish stores a record where other VMs find it, and reports whether one of them has confirmed it.
	Publish(ctx context.Context, record origin.Record) bool
	// Lookup returns the record of an attempt. Its error is origin.ErrUnknown, origin.ErrNoAnswer or that of ctx.
	Lookup(ctx context.Context, attempt string) (origin.Record, error)
}

// resumeRemedy is the remedy where a stream cannot be resumed.
const resumeRemedy = "send the request again from its start"

// Versions tells which software versions of a service may have begun streams.
type Versions interface {
	// Sole returns the only such version, as of a moment after the call; found is false if there may be several. The error is
	// that of ctx or marked with versions.ErrUnknown.
	Sole(ctx context.Context, service string) (version string, found bool, err error)
}

// resumeAtOrigin fixes the service and the software version of a stream of which the caller has received events before. The
// error is an *apierror.Error of kind not_run if they are not known.
func (x *exchange) resumeAtOrigin(ctx context.Context) error {
	if x.call.Resumes == "" {
		return x.resumeAtSoleVersion(ctx)
	}
	startedAt := time.Now()
	record, err := x.options.Origins.Lookup(ctx, x.call.Resumes)
	switch {
	case errors.Is(err, origin.ErrUnknown), errors.Is(err, origin.ErrNoAnswer):
		return x.resumeAtSoleVersion(ctx) // the VMs that knew it may have ended
	case err == nil && (record.Account != x.account.Name || !x.route.LeadsTo(record.Service)):
		err = origin.ErrUnknown
	}
	if err != nil {
		return apierror.Wrap(err, apierror.KindNotRun, "the stream cannot be resumed", resumeRemedy)
	}
	x.service = policy.RoutedService{Name: record.Service}
	if service, found := x.options.Poller.Current().Services[record.Service]; found {
		x.service = service
	}
	x.features = featuresOf(x.service.Name, x.account.Name, x.call)
	x.version, x.versionFixed = record.Version, true
	x.log("stream resumed by its caller", "resumes", x.call.Resumes, "service", record.Service, "version", record.Version, "lookup_ms", time.Since(startedAt).Milliseconds())
	return nil
}

// resumeAtSoleVersion accepts a stream of which nobody can tell where it began if it can have begun at one service and one
// software version only.
func (x *exchange) resumeAtSoleVersion(ctx context.Context) error {
	if len(x.route.Destinations) > 1 {
		return apierror.Newf(apierror.KindNotRun, resumeRemedy, "the stream began at one of %d services, and it is not known at which", len(x.route.Destinations))
	}
	startedAt := time.Now()
	version, found, err := x.options.Versions.Sole(ctx, x.service.Name)
	if err != nil {
		return apierror.Wrap(err, apierror.KindNotRun, "it cannot be checked now at which software version the stream began",
			"resume it after the time given, or send the request again from its start").WithRetryAfter(refusedRetryAfter)
	}
	if !found {
		return apierror.New(apierror.KindNotRun, "the service has had several software versions, and it is not known at which one the stream began", resumeRemedy)
	}
	x.version, x.versionFixed = version, true
	x.log("stream resumed by its caller", "resumes", x.call.Resumes, "service", x.service.Name, "version", version, "sole_version", true, "lookup_ms", time.Since(startedAt).Milliseconds())
	return nil
}

// fixVersion fixes the software version of the stream by its first event. The record that lets the caller take a
// resumable stream up elsewhere is published before the event is let go.
func (s *stream) fixVersion(lease *placement.Lease) {
	s.version, s.versionFixed = lease.Target.Version, true
	if !s.route.Resumable {
		return
	}
	record := origin.Record{Attempt: s.call.ID, Service: s.service.Name, Version: s.version, Account: s.account.Name, TTL: time.Until(s.deadline)}
	if startedAt := time.Now(); !s.options.Origins.Publish(s.ctx, record) {
		s.log("origin of the stream not confirmed by another VM", "version", s.version, "waited_ms", time.Since(startedAt).Milliseconds())
	}
}
