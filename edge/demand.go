package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/fleet"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/scale"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// demandInterval is how often a host with batches sends its demand, so that a new
	// batch is known within half a second.
	demandInterval = 500 * time.Millisecond
	// quietDemandInterval is how often other hosts send theirs, to limit the calls that
	// the receiver has from hundreds of hosts.
	quietDemandInterval = 2 * time.Second
	// demandTimeout limits one call to a host that may decide on endpoints.
	demandTimeout = 600 * time.Millisecond
	// demandMaxAge is how long a host's demand counts after it was received: two calls
	// may be missed.
	demandMaxAge = 4500 * time.Millisecond
	// maxDeciders limits the hosts that are asked to take the demand, in order of rank.
	maxDeciders = 3
)

type (
	// serviceDemand is the work of one host for a service.
	serviceDemand struct {
		work []scale.Work
		// plain counts the plain requests in flight.
		plain int
	}

	// demandReport is what a host has sent of its demand, by service.
	demandReport struct {
		at       time.Duration
		services map[string]serviceDemand
	}

	// demandPeers calls the hosts that may decide on endpoints.
	demandPeers interface {
		Keepers() []string
		Discovered() bool
		callHost(ctx context.Context, name string, call *wirepb.Frame) (*wirepb.Frame, error)
	}
)

// demandOf returns this host's demand for a service.
func demandOf(backlog []batch.Backlog, states []fleet.State, service string) serviceDemand {
	var d serviceDemand
	for _, s := range states {
		if s.Entry.Service == service {
			d.plain += s.OwnInFlight
		}
	}
	for _, b := range backlog {
		d.work = append(d.work, scale.Work{Model: b.Model, Waiting: b.Waiting, Running: b.Running, Tokens: b.Tokens, Due: b.Due})
		d.plain -= b.Running
	}
	d.plain = max(0, d.plain)
	return d
}

// after returns the demand with times until work is due that are shorter by an age.
func (d serviceDemand) after(age time.Duration) []scale.Work {
	work := slices.Clone(d.work)
	for i := range work {
		work[i].Due -= age
	}
	if d.plain > 0 {
		work = append(work, scale.Work{Running: d.plain})
	}
	return work
}

// runDemand sends this host's demand to the host that decides until the context ends.
func (s *scaling) runDemand(ctx context.Context) error {
	sentAt, sentWork := time.Duration(0), false
	for waits.For(ctx, demandInterval) == nil {
		services := s.ownDemand()
		s.follow()
		now, urgent, busy := s.now(), false, false
		for _, d := range services {
			urgent = urgent || len(d.work) > 0
			busy = busy || len(d.work) > 0 || d.plain > 0
		}
		// Hosts that may own batches also say that they have none: the number of endpoints
		// is lowered only if that is known.
		due := busy || sentWork || slices.Contains(s.deps.Peers.Keepers(), s.deps.Name)
		if len(services) == 0 || !due || !urgent && now-sentAt < quietDemandInterval {
			continue
		}
		sentAt, sentWork = now, busy
		s.sendDemand(ctx, services)
	}
	return nil
}

// ownDemand returns this host's demand for the services whose endpoints may be ordered.
func (s *scaling) ownDemand() map[string]serviceDemand {
	table := s.deps.Routes()
	if table == nil {
		return nil
	}
	services, states := make(map[string]serviceDemand), s.deps.Fleet.All()
	for _, service := range table.Scaled() {
		services[service.Name] = demandOf(s.deps.Backlog(service.Name), states, service.Name)
	}
	return services
}

// sendDemand offers the demand to the hosts that may decide, in order of rank. The first
// one that takes it decides: this host, if all hosts before it are gone or unable. If the
// orders of all of them have failed, an unable one decides again.
func (s *scaling) sendDemand(ctx context.Context, services map[string]serviceDemand) {
	if !s.deps.Peers.Discovered() {
		s.deciding.Store(false)
		return
	}
	unable := false
	call := encodeDemand(s.deps.Name, s.deps.Incarnation, services)
	var cause error
	for _, name := range rendez.Top(leaderKey, s.deps.Peers.Keepers(), maxDeciders) {
		if name == s.deps.Name {
			if unable = !s.able(); unable {
				continue
			}
			s.beginDeciding(services)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, demandTimeout)
		_, err := s.deps.Peers.callHost(callCtx, name, call)
		cancel()
		if err == nil {
			s.deciding.Store(false)
			return
		}
		cause = err
	}
	if unable && s.noneAble() {
		s.beginDeciding(services)
		return
	}
	s.deciding.Store(false)
	if ctx.Err() == nil {
		event.DemandNotSent.Log(s.deps.Logger, zap.Error(cause))
	}
}

// beginDeciding makes this host the one that decides, if it is not that already.
func (s *scaling) beginDeciding(services map[string]serviceDemand) {
	s.record(s.deps.Name, services)
	s.deciding.Store(true)
}

// record stores the demand of a host.
func (s *scaling) record(host string, services map[string]serviceDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[host] = demandReport{at: s.now(), services: services}
}

// serve records the demand of another host. It returns false if this host does not
// decide on endpoints.
func (s *scaling) serve(call *wirepb.UsageCall) bool {
	if s == nil || !s.deciding.Load() {
		return false
	}
	s.record(call.GetHost(), decodeDemand(call))
	return true
}

// demand returns the work of all hosts for a service, and whether it is known of all
// hosts that may own batches. The caller holds the lock.
func (s *scaling) demand(service string, now time.Duration) (work []scale.Work, complete bool) {
	for host, report := range s.reports {
		if now-report.at > demandMaxAge {
			delete(s.reports, host)
			continue
		}
		work = append(work, report.services[service].after(now-report.at)...)
	}
	complete = true
	for _, host := range s.deps.Peers.Keepers() {
		_, known := s.reports[host]
		complete = complete && known
	}
	return work, complete
}

// encodeDemand returns the message with a host's demand. It names each service, also
// those without work.
func encodeDemand(host string, incarnation uint64, services map[string]serviceDemand) *wirepb.Frame {
	call := &wirepb.UsageCall{Host: host, Incarnation: incarnation}
	for service, d := range services {
		call.Demand = append(call.Demand, &wirepb.ServiceDemand{Service: service, Running: int64(d.plain)})
		for _, w := range d.work {
			call.Demand = append(call.Demand, &wirepb.ServiceDemand{
				Service: service, Model: w.Model, Waiting: int64(w.Waiting), Running: int64(w.Running), Tokens: int64(w.Tokens), DueMs: w.Due.Milliseconds(),
			})
		}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_UsageCall{UsageCall: call}}
}

func decodeDemand(call *wirepb.UsageCall) map[string]serviceDemand {
	services := make(map[string]serviceDemand)
	for _, in := range call.GetDemand() {
		d := services[in.GetService()]
		if in.GetModel() == "" {
			d.plain += int(in.GetRunning())
		} else {
			d.work = append(d.work, scale.Work{
				Model: in.GetModel(), Waiting: int(in.GetWaiting()), Running: int(in.GetRunning()), Tokens: int(in.GetTokens()),
				Due: time.Duration(in.GetDueMs()) * time.Millisecond,
			})
		}
		services[in.GetService()] = d
	}
	return services
}
