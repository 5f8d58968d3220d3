package edge

import (
	"context"
	"time"

	"github.com/currantloft/currantloft/batch"
	"github.com/currantloft/currantloft/lease"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/rendez"
	"github.com/currantloft/currantloft/roster"
	"github.com/currantloft/currantloft/setup"
	"github.com/currantloft/currantloft/usage"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	// leaseUsage is the name of the lease of the host that reports usage.
	leaseUsage = "usage"
	// usageKey is the rendezvous key that ranks the hosts that may report usage.
	usageKey = "usage"
	// usageHosts is how many hosts may report usage: the first one and those that take over.
	usageHosts = 3
)

// usagePeers sends the request counts of teams to other hosts.
type usagePeers struct{ *peerClient }

var _ usage.Peers = usagePeers{}

// newUsage assembles what counts and reports the requests of teams. It returns nil if the
// settings ask for no reports.
func (e *Edge) newUsage(settings *setup.Host, self roster.Host) (*usage.Ledger, *usage.Reporter) {
	if !settings.ReportsUsage() || settings.UsageWindow() <= 0 {
		return nil, nil
	}
	clock := usage.NewClock(time.Now(), waits.Boottime)
	ledger := usage.NewLedger(clock, settings.UsageWindow())
	reporter := usage.New(usage.Deps{
		Host: usage.Host{Name: self.Name, Incarnation: self.Incarnation}, Length: settings.UsageWindow(), Ledger: ledger, Clock: clock,
		Store: e.store, API: platform.NewDuties(settings.DutyAddress(), e.answers), Peers: usagePeers{e.peers},
		Lease: lease.New(e.store, leaseUsage, self.Name, self.Incarnation, settings.LeaseDuration(), settings.TakeoverDelay(), waits.Boottime),
		Scope: e.meter.Scope(), Logger: e.logger,
	})
	return ledger, reporter
}

// runUsage counts and reports the requests of teams until the context ends, if the settings
// ask for that.
func (e *Edge) runUsage(ctx context.Context) error {
	if e.usage == nil {
		return nil
	}
	return e.usage.Run(ctx)
}

// dumpUsage returns the state of the usage reports, nil if there are none.
func (e *Edge) dumpUsage() *usage.State {
	if e.usage == nil {
		return nil
	}
	state := e.usage.Dump()
	return &state
}

// serveUsage records the counts of another host.
func (e *Edge) serveUsage(call *wirepb.UsageCall) *wirepb.UsageReply {
	if e.usage == nil {
		return &wirepb.UsageReply{}
	}
	received := usage.Call{Host: usage.Host{Name: call.GetHost(), Incarnation: call.GetIncarnation()}}
	for _, w := range call.GetWindows() {
		received.Windows = append(received.Windows, usage.Window{ID: w.GetWindow(), Counts: w.GetCounts(), Final: w.GetFinal()})
	}
	return &wirepb.UsageReply{ReportedThrough: e.usage.Serve(received)}
}

// Ranked returns the hosts that may report usage, in order of rank.
func (p usagePeers) Ranked() []string {
	if !p.Discovered() {
		return nil
	}
	return rendez.Top(usageKey, p.Keepers(), usageHosts)
}

// Active returns the active hosts, this one included.
func (p usagePeers) Active() []usage.Host {
	active := p.ActiveHosts()
	hosts := make([]usage.Host, 0, len(active))
	for _, h := range active {
		hosts = append(hosts, usage.Host{Name: h.Name, Incarnation: h.Incarnation})
	}
	return hosts
}

// Send sends counts to a host, or only asks it which windows are reported.
func (p usagePeers) Send(ctx context.Context, name string, calls []usage.Call) (int64, error) {
	h, ok := p.Host(name)
	if !ok {
		return 0, batch.ErrNotOwner
	}
	if len(calls) == 0 {
		calls = []usage.Call{{Host: usage.Host{Name: p.Self().Name, Incarnation: p.Self().Incarnation}}}
	}
	through := int64(0)
	for _, call := range calls {
		message := &wirepb.UsageCall{Host: call.Host.Name, Incarnation: call.Host.Incarnation}
		for _, w := range call.Windows {
			message.Windows = append(message.Windows, &wirepb.UsageWindow{Window: w.ID, Counts: w.Counts, Final: w.Final})
		}
		frame, err := p.pool.Do(ctx, h.PeerAddress, &wirepb.Frame{Body: &wirepb.Frame_UsageCall{UsageCall: message}})
		if err != nil {
			return 0, err
		}
		through = max(through, frame.GetUsageReply().GetReportedThrough())
	}
	return through, nil
}
