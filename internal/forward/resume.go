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

// resumeAtOrigin fixes the service and the software version of a stream of which the caller has received events before. The
// error is an *apierror.Error of kind not_run if they are not known.
func (x *exchange) resumeAtOrigin(ctx context.Context) error {
	if x.call.Resumes == "" {
		return x.resumeUnnamed()
	}
	startedAt := time.Now()
	record, err := x.options.Origins.Lookup(ctx, x.call.Resumes)
	if errors.Is(err, origin.ErrNoAnswer) {
		return apierror.Wrap(err, apierror.KindNotRun, "the stream cannot be resumed now", "come back after the time given").WithRetryAfter(refusedRetryAfter)
	}
	if err == nil && (record.Account != x.account.Name || !x.route.LeadsTo(record.Service)) {
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

// resumeUnnamed accepts a stream whose caller does not name its first attempt if this VM knows one version of the
// service only.
func (x *exchange) resumeUnnamed() error {
	version, found := x.options.Table.SoleVersion(x.service.Name, time.Now())
	if !found {
		return apierror.New(apierror.KindNotRun, "the service has had several software versions, and the request does not name the attempt that began the stream", resumeRemedy)
	}
	x.version, x.versionFixed = version, true
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
