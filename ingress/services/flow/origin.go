package flow

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// originRetryAfter is the Retry-After if an ingress that did not answer may know the origin of a stream.
const originRetryAfter = 500 * time.Millisecond

// findOrigin finds the software that began the stream that the caller takes up. It returns the result with
// which the request ends if the stream cannot go on.
func (x *exchange) findOrigin(ctx context.Context) *codes.Result {
	began := time.Now()
	o := x.server.options.Origins.Find(ctx, x.Resumes, x.listServices())
	x.log.Info("resume-requested", zap.String("resumes", x.Resumes), zap.String("last-event", x.LastEventID),
		zap.String("began-at", o.Software.Version), zap.String("known-by", string(o.Source)), zap.String("held-by", o.HeldBy),
		zap.Bool("may-be-held", o.MayBeHeld), zap.Duration("age", o.Evidence.Age), zap.Duration("records-age", o.Evidence.RecordsAge),
		zap.Stringer("inventory", o.Evidence.Inventory), zap.Duration("took", time.Since(began)))
	if o.Source == origin.SourceNone {
		result := codes.NewResult(codes.OriginUnknown, "no ingress that answered knows the origin of the stream")
		if o.MayBeHeld {
			return result.WithRetryAfter(originRetryAfter)
		}
		return result
	}
	if !slices.Contains(x.listServices(), o.Software.Service) {
		return codes.NewResult(codes.NoBackend, "the stream began at service "+o.Software.Service+", which its route no longer uses")
	}
	x.service = o.Software.Service
	x.software = &o.Software
	return nil
}

// listServices returns the services of the request's route, the chosen one first.
func (x *exchange) listServices() []string {
	services := []string{x.service}
	for _, b := range x.route.Backends {
		if b.Weight > 0 && !slices.Contains(services, b.Service) {
			services = append(services, b.Service)
		}
	}
	return services
}

// findWithheld returns which versions of the service the request must not be sent to, since it begins a stream that may be
// taken up.
func (x *exchange) findWithheld(versions []string) origin.Withheld {
	if x.software != nil || !x.route.Resumable {
		return origin.Withheld{}
	}
	return x.server.options.Origins.FindWithheld(x.service, versions)
}

// listVersions returns the registered versions of the service.
func (x *exchange) listVersions() []string {
	return x.server.options.Views.View().Versions[x.service]
}

// maxVersionWait is how long a request waits at most until streams may begin at a software version.
const maxVersionWait = time.Second

// awaitVersion waits until streams may begin at a further version of the service than when the request was placed, under the
// given constraints. It returns false if there is none, or if that takes too long: the request is refused at once then.
func (x *exchange) awaitVersion(ctx context.Context, placed site.Constraints) bool {
	withheld := x.findWithheld(x.listVersions())
	if len(withheld.Versions) < len(placed.Withheld) {
		return true // a notice has ended while the request was being placed
	}
	if len(withheld.Versions) == 0 {
		return false
	}
	isFirst := x.versionWaitEnd.IsZero()
	if isFirst {
		x.versionWaitEnd = time.Now().Add(maxVersionWait)
	}
	left := min(time.Until(x.versionWaitEnd), x.remaining())
	if left <= 0 || withheld.Wait > left && !withheld.IsNew {
		return false
	}
	if isFirst {
		x.log.Info("version-awaited", zap.Strings("withheld", withheld.Versions), zap.Duration("wait", withheld.Wait), zap.Bool("new", withheld.IsNew))
	}
	timer := time.NewTimer(min(left, withheld.Wait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-withheld.Changed:
	case <-timer.C:
	}
	return true
}

// recordBegun records that a server begins the answer. The stream may go on only at its software.
func (x *exchange) recordBegun(server *site.Server) {
	if x.software == nil {
		software := server.Software()
		x.software = &software
	}
	if x.route.Resumable {
		x.server.options.Origins.RecordBegun(x.firstAttempt(), *x.software, x.deadline)
	}
}

// recordComplete records that the stream is complete, so that nobody takes it up.
func (x *exchange) recordComplete() {
	if x.route.Resumable {
		x.server.options.Origins.RecordComplete(x.firstAttempt())
	}
}
