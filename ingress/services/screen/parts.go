package screen

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

const (
	// partOwners is how many ingresses count the crashes of the prompt parts of a service. Each counts all of
	// them, so that the loss of one loses none.
	partOwners = 3
	// putStagger is how long each of them waits for the one before it to write a quarantine.
	putStagger = 400 * time.Millisecond
	// maxPartServices limits the services whose crashes are counted here.
	maxPartServices = 256
	// withdrawSpread is the time over which the ingresses spread the withdrawals of a quarantine of a part
	// with which they have had requests answered, except for the first withdrawers of them.
	withdrawSpread = 3 * time.Second
	withdrawers    = 8
)

// RecordAnswered records that a request has been answered by some software for a while, which a prompt part that
// crashes servers does not let happen. A quarantine of one of its parts is ended.
func (s *Screen) RecordAnswered(i poison.Identity, software site.Software) {
	if len(i.Parts) == 0 {
		return
	}
	s.lock.Lock()
	now := time.Now()
	s.answered.Add(now, i.Service, software)
	for _, id := range i.Parts {
		s.answered.Add(now, id, software)
	}
	s.lock.Unlock()
	for _, id := range i.Parts {
		if _, quarantined := s.view.Load().Quarantines[id]; quarantined {
			go s.runEnd(id, "a request with it was answered")
		}
	}
}

// runReportParts reports a crash with the prompt parts of a request to the ingresses that count for its
// service. If none can be reached, this ingress counts it alone.
func (s *Screen) runReportParts(i poison.Identity, service string, c poison.Crash) {
	report := s.newPartReport(i, service, c)
	owners := s.listPartOwners(service)
	told := make(chan bool, len(owners))
	for _, name := range owners {
		go s.runTellOwner(name, report, told)
	}
	isTold := false
	for range owners {
		isTold = <-told || isTold
	}
	if !isTold {
		s.ServePartCrash(report)
	}
}

func (s *Screen) newPartReport(i poison.Identity, service string, c poison.Crash) *wire.PartCrash {
	s.lock.Lock()
	defer s.lock.Unlock()
	now := time.Now()
	report := &wire.PartCrash{
		Service: service, ServerId: c.Server, Version: c.Version, BrokeAgoNanos: int64(now.Sub(c.BrokeAt)),
		Request: string(i.Request), AnsweredAgoNanos: s.answeredAgo(now, i.Service),
	}
	for _, id := range i.Parts {
		report.Parts = append(report.Parts, &wire.ReportedPart{Id: string(id), AnsweredAgoNanos: s.answeredAgo(now, id)})
	}
	return report
}

// answeredAgo returns the nanoseconds since a request with an ID was answered, 0 if that is not known. The
// caller holds the lock.
func (s *Screen) answeredAgo(now time.Time, id poison.ID) int64 {
	at := s.answered.LastAt(id)
	if at.IsZero() {
		return 0
	}
	return max(int64(now.Sub(at)), 1)
}

// runTellOwner reports a crash to one of the ingresses that count it, which may be this one, and sends
// whether it was told.
func (s *Screen) runTellOwner(name string, report *wire.PartCrash, told chan<- bool) {
	if name == s.options.Peers.Self() {
		s.ServePartCrash(report)
		told <- true
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	noted, err := s.options.Peers.ReportPartCrash(ctx, name, report)
	told <- err == nil
	if err != nil {
		s.options.Log.Info("crash-untold", zap.String("digest", report.GetRequest()), zap.String("ingress", name), logs.Err(err))
		return
	}
	s.recordPartDecision(noted)
}

// recordPartDecision records the parts that an ingress that counts for them has quarantined. Its reply arrives
// before the records of the quarantines.
func (s *Screen) recordPartDecision(noted *wire.PartCrashNoted) {
	for _, quarantined := range noted.GetQuarantined() {
		id := poison.ID(quarantined)
		if s.isQuarantined(id) {
			continue
		}
		s.lock.Lock()
		if !s.answered.Has(time.Now(), id) {
			s.pending[id] = true
		}
		s.lock.Unlock()
	}
}

// listPartOwners returns the ingresses that count the crashes of the prompt parts of a service.
func (s *Screen) listPartOwners(service string) []string {
	ranked := s.options.Peers.Rank("parts/" + service)
	return ranked[:min(len(ranked), partOwners)]
}

// ServePartCrash counts a crash that this or another ingress reports.
func (s *Screen) ServePartCrash(report *wire.PartCrash) *wire.PartCrashNoted {
	service := report.GetService()
	crash := decodePartCrash(report)
	isExplained := slices.ContainsFunc(crash.Identity.Parts, s.isQuarantined)
	s.lock.Lock()
	now := time.Now()
	s.recordReportedAnswers(now, report)
	counter := s.findCounter(service)
	counter.Record(now, crash, isExplained)
	e := counter.Evaluate(now, crash.Identity.Parts)
	counts := s.describeCounts(now, e.Counts, crash.Identity.Parts)
	if e.Found == "" {
		e.Found, e.Suspect = s.findRenewed(now, crash)
	}
	isFound := e.Found != "" && !s.pending[e.Found]
	if isFound {
		s.pending[e.Found] = true
		counter.MarkPoison(e.Found)
	}
	s.lock.Unlock()
	s.options.Log.Warn("part-crash-counted", zap.String("service", service), zap.String("server", crash.Server), zap.String("digest", string(crash.Identity.Request)),
		zap.Strings("parts", counts), zap.Bool("explained", isExplained), zap.String("quarantined", string(e.Found)))
	if isFound {
		go s.runPutPart(e.Found, service, e.Suspect)
	}
	return &wire.PartCrashNoted{Quarantined: s.listQuarantined(crash.Identity.Parts)}
}

// findRenewed returns a part that was quarantined for other software versions, if there is one: a single crash of
// a new version quarantines it again. The caller holds the lock.
func (s *Screen) findRenewed(now time.Time, crash poison.PartCrash) (poison.ID, poison.Suspect) {
	for _, id := range crash.Identity.Parts {
		q, known := s.view.Load().Quarantines[id]
		if known && !slices.Contains(q.Versions, crash.Version) && !s.answered.Has(now, id) {
			return id, poison.Suspect{Servers: []string{crash.Server}, Versions: []string{crash.Version}}
		}
	}
	return "", poison.Suspect{}
}

func decodePartCrash(report *wire.PartCrash) poison.PartCrash {
	crash := poison.PartCrash{
		Server: report.GetServerId(), Version: report.GetVersion(), BrokeAt: time.Now().Add(-time.Duration(report.GetBrokeAgoNanos())),
		Identity: poison.Identity{Request: poison.ID(report.GetRequest()), Service: poison.NewPartID(report.GetService(), "")},
	}
	for _, part := range report.GetParts() {
		crash.Identity.Parts = append(crash.Identity.Parts, poison.ID(part.GetId()))
	}
	return crash
}

// recordReportedAnswers records when the sender of a report had requests of the service, and with the same
// parts, answered, as far as by software that some server runs. The caller holds the lock.
func (s *Screen) recordReportedAnswers(now time.Time, report *wire.PartCrash) {
	software := site.Software{Service: report.GetService(), Version: report.GetVersion()}
	if ago := report.GetAnsweredAgoNanos(); ago > 0 {
		s.answered.Add(now.Add(-time.Duration(ago)), poison.NewPartID(report.GetService(), ""), software)
	}
	for _, part := range report.GetParts() {
		if ago := part.GetAnsweredAgoNanos(); ago > 0 {
			s.answered.Add(now.Add(-time.Duration(ago)), poison.ID(part.GetId()), software)
		}
	}
}

// findCounter returns the counter of a service. The caller holds the lock.
func (s *Screen) findCounter(service string) *poison.PartCounter {
	counter := s.parts[service]
	if counter != nil {
		return counter
	}
	for other := range s.parts {
		if len(s.parts) < maxPartServices {
			break
		}
		delete(s.parts, other)
	}
	counter = poison.NewPartCounter(poison.NewPartID(service, ""), s.answered)
	s.parts[service] = counter
	return counter
}

// describeCounts returns each part with the number of servers that crashed while they had it, and the age of the
// last answer to a request with it, for log lines. The caller holds the lock.
func (s *Screen) describeCounts(now time.Time, counts []int, parts []poison.ID) []string {
	described := []string{}
	for n, id := range parts {
		text := string(id) + "=" + strconv.Itoa(counts[n])
		if at := s.answered.LastAt(id); !at.IsZero() {
			text += "/answered-" + now.Sub(at).Round(time.Millisecond).String() + "-ago"
		}
		described = append(described, text)
	}
	return described
}

func (s *Screen) listQuarantined(parts []poison.ID) []string {
	quarantined := []string{}
	for _, id := range parts {
		if s.isQuarantined(id) {
			quarantined = append(quarantined, string(id))
		}
	}
	return quarantined
}

// runPutPart writes the quarantine of a part to the store, unless another ingress that counts for the service
// has done so.
func (s *Screen) runPutPart(id poison.ID, service string, suspect poison.Suspect) {
	place := slices.Index(s.listPartOwners(service), s.options.Peers.Self())
	time.Sleep(time.Duration(max(place, 0)) * putStagger)
	q := s.view.Load().Quarantines[id]
	if !slices.ContainsFunc(suspect.Versions, func(v string) bool { return !slices.Contains(q.Versions, v) }) {
		return
	}
	s.runPut(id, poison.ExtendQuarantine(q, service, suspect))
}

// observePart processes a quarantine of a part that is new in the view. The caller holds the lock.
func (s *Screen) observePart(id poison.ID, q site.Quarantine) {
	if counter := s.parts[q.Service]; counter != nil {
		counter.MarkPoison(id)
	}
	if s.answered.Has(time.Now(), id) {
		go s.runWithdraw(id)
	}
}

// clearPart makes the crashes of a part count from now on only, since its quarantine has ended. The caller holds
// the lock.
func (s *Screen) clearPart(id poison.ID) {
	if id.IsPart() {
		s.answered.Add(time.Now(), id, site.Software{})
	}
}

// forgetAnswers forgets what was answered by software that no server runs any more. An empty service stands for none in
// particular. The caller holds the lock.
func (s *Screen) forgetAnswers(v *state.View) {
	s.answered.Forget(func(software site.Software) bool {
		return software.Service == "" || slices.Contains(v.Versions[software.Service], software.Version)
	})
}

// runWithdraw ends the quarantine of a part with which this ingress had a request answered. All ingresses may
// have had one, so most of them wait whether another one ends it.
func (s *Screen) runWithdraw(id poison.ID) {
	place := slices.Index(s.options.Peers.Rank(ownerKey(id)), s.options.Peers.Self())
	if place >= withdrawers {
		time.Sleep(withdrawSpread/withdrawers + rand.N(withdrawSpread)) //nolint:gosec // not security-relevant
	}
	if _, stays := s.view.Load().Quarantines[id]; stays {
		s.runEnd(id, "a request with it was answered here")
	}
}
