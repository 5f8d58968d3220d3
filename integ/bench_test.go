package integ

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/currantloft/currantloft/demo"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/loads"
	"github.com/currantloft/currantloft/plots"
)

const (
	runTime     = 10 * time.Second
	userGroups  = 16
	userSamples = 8
	userTokens  = 64
	userRate    = 40
	thinkTime   = 100 * time.Millisecond
)

// userSize is the size of the first users' deployment.
var userSize = demo.Size{
	Nodes: 8, Samplers: 10, Quotes: 4, Plains: 4, Heartbeat: time.Second,
	Engine: model.Options{Version: 1, TokenTime: 2 * time.Millisecond},
}

// userDeclaration declares two trainers on the pool that the portal also uses.
func userDeclaration() demo.Declaration {
	return demo.Declaration{
		Serve: 1, Stage: 2, Trainers: []string{"cabling", "faults"}, Groups: userGroups, Samples: userSamples,
		MaxTokens: userTokens, MaxBehind: 1, ExtraLines: "over_sample = 0",
	}
}

func userPlan(f *fleet) loads.Plan {
	plan := loads.Plan{Nodes: f.urls(), Domain: "a", Duration: runTime, Seed: 1, Callers: &loads.Callers{
		Service: "quote", Rate: userRate, MaxTokens: 32, Prompts: 50, Timeout: 5 * time.Second,
	}}
	for _, name := range userDeclaration().Trainers {
		plan.Trainers = append(plan.Trainers, loads.Trainer{
			Name: name, FirstStep: 1, Groups: userGroups, Samples: userSamples, MaxTokens: userTokens, ThinkTime: thinkTime,
		})
	}
	return plan
}

// directPlan returns the plan of the baseline: the same load sent directly to the
// engines.
func directPlan(plan loads.Plan, engines []*model.Engine) loads.Plan {
	for _, e := range engines {
		plan.Direct = append(plan.Direct, e.URL())
	}
	return plan
}

// writeFigureText writes a text to the file name.txt in the figures folder and
// logs it.
func writeFigureText(b *testing.B, name string, text string) {
	b.Helper()
	if err := os.WriteFile(filepath.Join(figures, name+".txt"), []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Log("\n" + text)
}

func runTable(b *testing.B, title string, f *fleet, plan loads.Plan) string {
	b.Helper()
	report, err := loads.Run(f.ctx, plan)
	if err != nil {
		b.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "## %s\n", title)
	if err := report.WriteTable(&out); err != nil {
		b.Fatal(err)
	}
	return out.String()
}

// BenchmarkTrainersUnderFaults compares the trainers' idle time and staleness without
// faults, with each fault, and with the direct baseline, in one run. It writes
// docs/figures/trainers.txt.
func BenchmarkTrainersUnderFaults(b *testing.B) {
	faults := []struct {
		name   string
		inject func(f *fleet)
	}{
		{name: "fault-free", inject: func(*fleet) {}},
		{name: "a node is killed", inject: func(f *fleet) { f.kill(f.nodes[3]) }},
		{name: "a node is frozen for 4 s", inject: func(f *fleet) { suspendFor(f, f.nodes[2], 4*time.Second) }},
		{name: "a sampler crashes", inject: func(f *fleet) { f.Samplers()[0].Crash() }},
		{name: "connections of two samplers go silent", inject: func(f *fleet) {
			f.Samplers()[0].SetFaults(model.Faults{Stall: true})
			f.Samplers()[1].SetFaults(model.Faults{Stall: true})
		}},
		{name: "one sampler is ten times slower", inject: func(f *fleet) { f.Samplers()[0].SetFaults(model.Faults{Slow: 10}) }},
		{name: "platform down for 3 s", inject: func(f *fleet) {
			f.Platform().SetFaults(objapi.Faults{Down: true})
			time.AfterFunc(3*time.Second, func() { f.Platform().SetFaults(objapi.Faults{}) })
		}},
		{name: "weights change", inject: func(f *fleet) {
			d := userDeclaration()
			d.Serve = 2
			f.apply(d)
		}},
	}
	var out strings.Builder
	for range b.N {
		f := newFleet(b, userSize, time.Minute)
		f.apply(userDeclaration())
		plan := directPlan(userPlan(f), f.Samplers())
		plan.Callers = nil
		out.WriteString(runTable(b, "baseline: each sample straight to a sampler at random, not scored, not sealed", f, plan))
		for _, fault := range faults {
			f := newFleet(b, userSize, time.Minute)
			f.apply(userDeclaration())
			timer := time.AfterFunc(runTime/3, func() { fault.inject(f) })
			out.WriteString(runTable(b, fault.name, f, userPlan(f)))
			timer.Stop()
		}
	}
	writeFigureText(b, "trainers", out.String())
}

// BenchmarkStragglers measures step completion times with 5% of the streams ten times
// slower, and compares them with the direct baseline. It writes
// docs/figures/stragglers.txt.
func BenchmarkStragglers(b *testing.B) {
	var out strings.Builder
	for range b.N {
		for _, percent := range []int{0, 5} {
			size := userSize
			size.Engine.StragglerPercent = percent
			f := newFleet(b, size, time.Minute)
			f.apply(userDeclaration())
			plan := userPlan(f)
			plan.Callers = nil
			out.WriteString(runTable(b, fmt.Sprintf("%d%% stragglers, direct baseline", percent), f, directPlan(plan, f.Samplers())))
			out.WriteString(runTable(b, fmt.Sprintf("%d%% stragglers, currantloft", percent), f, plan))
		}
	}
	writeFigureText(b, "stragglers", out.String())
}

// BenchmarkInteractive measures the latency of interactive calls sent directly to the
// endpoints and through nodes: alone, beside two trainers at full load on the same
// pool, and in overload. It writes docs/figures/interactive.txt.
func BenchmarkInteractive(b *testing.B) {
	var out strings.Builder
	for range b.N {
		f := newFleet(b, userSize, 3*time.Minute)
		d := userDeclaration()
		d.ShareRolloutPool = true
		f.apply(d)
		alone := userPlan(f)
		alone.Trainers = nil
		out.WriteString(runTable(b, "callers alone, straight to the samplers", f, directPlan(alone, f.Samplers())))
		out.WriteString(runTable(b, "callers alone, through nodes", f, alone))
		out.WriteString(runTable(b, "callers beside two trainers at full load, straight to the samplers", f, directPlan(userPlan(f), f.Samplers())))
		out.WriteString(runTable(b, "callers beside two trainers at full load, through nodes", f, userPlan(f)))
		// 10 samplers with 8 streams each, at about 2.3 ms a token, generate 32 tokens in
		// about 75 ms.
		capacity := float64(len(f.Samplers())*8) / 0.060
		for _, factor := range []float64{0.5, 1.5, 3} {
			overload := alone
			callers := *alone.Callers
			callers.Rate, callers.Timeout = factor*capacity, time.Second
			overload.Callers = &callers
			title := fmt.Sprintf("callers at %.1f times the capacity of about %.0f/s, limit 1 s", factor, capacity)
			out.WriteString(runTable(b, title+", straight to the samplers", f, directPlan(overload, f.Samplers())))
			out.WriteString(runTable(b, title+", through nodes", f, overload))
		}
	}
	writeFigureText(b, "interactive", out.String())
}

// BenchmarkThinPath compares quote requests and a trainer's steps through nodes
// with direct calls to the engines. It measures a fleet of one node and one of
// two, in which each node owns half of the cells. It writes
// docs/figures/thin_path.txt.
func BenchmarkThinPath(b *testing.B) {
	var out strings.Builder
	for range b.N {
		for _, nodes := range []int{1, 2} {
			size := userSize
			size.Nodes = nodes
			f := newUnproxiedFleet(b, size, time.Minute)
			f.apply(userDeclaration())
			quotes, trainers := userPlan(f), userPlan(f)
			quotes.Trainers, trainers.Callers = nil, nil
			quotes.Duration, trainers.Duration = runTime/2, runTime/2
			trainers.Trainers = trainers.Trainers[:1]
			title := fmt.Sprintf("%d nodes", nodes)
			out.WriteString(runTable(b, title+": quotes straight to the engines", f, directPlan(quotes, f.Quotes())))
			out.WriteString(runTable(b, title+": quotes through nodes", f, quotes))
			out.WriteString(runTable(b, title+": one trainer straight to the engines", f, directPlan(trainers, f.Samplers())))
			out.WriteString(runTable(b, title+": one trainer through nodes", f, trainers))
		}
	}
	writeFigureText(b, "thin_path", out.String())
}

// BenchmarkSeal measures steps of 4,096 samples: the time until the trainer has the
// complete step, the writes to the platform, and the time from the last sample to the
// sealed step, from the log. It writes docs/figures/seal.txt.
func BenchmarkSeal(b *testing.B) {
	const groups, samples, tokens = 512, 8, 32
	var out strings.Builder
	for range b.N {
		size := userSize
		size.Samplers = 32
		size.Engine = model.Options{Version: 1, TokenTime: time.Millisecond, BatchSize: 32, ChunkTokens: 16}
		f := newFleet(b, size, 2*time.Minute)
		d := demo.Declaration{
			Serve: 1, Trainers: []string{trainer}, Groups: groups, Samples: samples, MaxTokens: tokens, MaxBehind: 1,
			Window: 32,
		}
		f.apply(d)
		for step := range uint64(3) {
			before := f.Platform().Counts()
			start := time.Now()
			got, err := f.client.Step(f.ctx, trainer, step+1, loads.Prompts(trainer, step+1, groups))
			if err != nil {
				b.Fatal(err)
			}
			after := f.Platform().Counts()
			fmt.Fprintf(&out, "step %d: %d samples whole after %s, %d platform writes, %d bytes written\n", step+1,
				got.Summary().Samples, time.Since(start).Round(time.Millisecond), after.Writes-before.Writes, after.Bytes-before.Bytes)
		}
		for _, n := range f.nodes {
			for line := range strings.Lines(readFile(n.log)) {
				if strings.Contains(line, "step_sealed") {
					fmt.Fprintf(&out, "%s: %s", n.name, line)
				}
			}
		}
	}
	writeFigureText(b, "seal", out.String())
}

func readFile(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(text)
}

// BenchmarkApplyAndLeave measures, over 30 runs each, the time until a configuration
// change is in force at all nodes and the time until a leaving endpoint gets no new
// requests. It writes docs/figures/force_and_leave.*.
func BenchmarkApplyAndLeave(b *testing.B) {
	const runs = 30
	figure := plots.New("force_and_leave", "run", "ms")
	for range b.N {
		f := newFleet(b, userSize, 5*time.Minute)
		f.apply(userDeclaration())
		callers := f.startQuoteCallers(4)
		for i := range runs {
			d := userDeclaration()
			d.MaxTokens = 100 + i
			start := time.Now()
			f.apply(d)
			figure.Add("apply to in force at 8 nodes", float64(i+1), millis(time.Since(start)))
			figure.Add("leaving to last new stream", float64(i+1), millis(f.timeToLastStream(f.Quotes()[0])))
		}
		callers.finish(b, 1)
	}
	if err := figure.Write(figures); err != nil {
		b.Fatal(err)
	}
}

// timeToLastStream makes an engine report that it is leaving, waits 2 s, and
// returns how long after the report it accepted its last new stream. The engine
// then returns to service.
func (f *fleet) timeToLastStream(e *model.Engine) time.Duration {
	start := time.Now()
	e.SetFaults(model.Faults{Leaving: true})
	time.Sleep(2 * time.Second)
	last := e.LastStart()
	e.SetFaults(model.Faults{})
	time.Sleep(1500 * time.Millisecond)
	return max(0, last.Sub(start))
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// BenchmarkTokenPath measures tokens per second through one node and directly from
// the engines, in one run, and the nodes' CPU time per million tokens. It writes
// docs/figures/token_path.txt.
func BenchmarkTokenPath(b *testing.B) {
	const tokens = 2000
	var out strings.Builder
	for range b.N {
		size := demo.Size{Nodes: 2, Samplers: 1, Quotes: 4, Plains: 1}
		size.Engine = model.Options{Version: 1, TokenTime: 100 * time.Microsecond, BatchSize: 64, ChunkTokens: 1, FixedLength: true}
		f := newFleet(b, size, 2*time.Minute)
		d := testDeclaration
		d.Window = 64
		f.apply(d)
		plan := loads.Plan{Nodes: f.urls()[:1], Duration: 5 * time.Second, Callers: &loads.Callers{
			Service: "quote", Rate: 20, MaxTokens: tokens, Prompts: 1000, Timeout: 5 * time.Second,
		}}
		before := totalCPUSeconds(f)
		report, err := loads.Run(f.ctx, plan)
		if err != nil {
			b.Fatal(err)
		}
		spent := totalCPUSeconds(f) - before
		f.profileUnderLoad(b, 2, plan)
		generatedTokens := report.Callers.TokensPerSecond * float64(report.WallMs) / 1000
		fmt.Fprintf(&out, "through nodes: %.0f tokens/s, %.2f s of processor per million tokens at the nodes, outcomes %v, p50 %.0f ms\n",
			report.Callers.TokensPerSecond, spent/generatedTokens*1e6, report.Callers.Outcomes, report.Callers.LatencyMs.P50)
		direct, err := loads.Run(f.ctx, directPlan(plan, f.Quotes()))
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprintf(&out, "straight: %.0f tokens/s, outcomes %v, p50 %.0f ms\n",
			direct.Callers.TokensPerSecond, direct.Callers.Outcomes, direct.Callers.LatencyMs.P50)
	}
	writeFigureText(b, "token_path", out.String())
}

// profileUnderLoad writes a CPU profile of the first node under the plan's load if
// CURRANTLOFT_PROFILE names a folder.
func (f *fleet) profileUnderLoad(b *testing.B, seconds int, plan loads.Plan) {
	b.Helper()
	if os.Getenv("CURRANTLOFT_PROFILE") == "" {
		return
	}
	done := make(chan error, 1)
	go func() {
		_, err := loads.Run(f.ctx, plan)
		done <- err
	}()
	f.writeProfile(b, seconds)
	if err := <-done; err != nil {
		b.Fatal(err)
	}
}

func totalCPUSeconds(f *fleet) float64 {
	total := 0.0
	for _, n := range f.nodes {
		total += cpuSeconds(n.cmd.Process.Pid)
	}
	return total
}
