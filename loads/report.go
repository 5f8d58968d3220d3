package loads

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const microsPerMilli = 1000

type (
	// Quantiles are points of a distribution.
	Quantiles struct {
		// Count is how many values there are.
		Count int64 `json:"count"`
		// P50 to Max are the values.
		P50 float64 `json:"p50"`
		// P90 is the 90th percentile.
		P90 float64 `json:"p90"`
		// P99 is the 99th percentile.
		P99 float64 `json:"p99"`
		// P999 is the 99.9th percentile.
		P999 float64 `json:"p999"`
		// Max is the largest value.
		Max float64 `json:"max"`
	}

	// CallersReport is what came of interactive requests.
	CallersReport struct {
		// Sent counts requests.
		Sent int `json:"sent"`
		// Outcomes counts requests by what became of them.
		Outcomes map[string]int `json:"outcomes"`
		// LatencyMs is the time of whole answers from when they were due.
		LatencyMs Quantiles `json:"latency_ms"`
		// TokensPerSecond counts tokens of whole answers.
		TokensPerSecond float64 `json:"tokens_per_second"`
	}

	// TrainerReport is what came of one trainer's steps.
	TrainerReport struct {
		// Trainer is the trainer's name.
		Trainer string `json:"trainer"`
		// Steps and Samples count what was delivered whole.
		Steps int `json:"steps"`
		// Samples counts delivered samples.
		Samples int `json:"samples"`
		// Asks counts requests, repeated ones included.
		Asks int `json:"asks"`
		// StepMs is how long the trainer waited for a step.
		StepMs Quantiles `json:"step_ms"`
		// IdleShare is the share of wall time that the trainer waited.
		IdleShare float64 `json:"idle_share"`
		// Behind counts samples by how many versions they were behind the
		// newest one that the step holds.
		Behind map[uint64]int `json:"versions_behind"`
		// AgeMs is the age of samples at delivery.
		AgeMs Quantiles `json:"age_ms"`
		// Doubled counts sample ids that came twice in whole answers.
		Doubled int `json:"doubled"`
		// Mislabelled counts samples whose label was found untrue.
		Mislabelled int `json:"mislabelled"`
		// Short counts steps that lacked samples.
		Short int `json:"short"`
		// Problem is why the trainer stopped early.
		Problem string `json:"problem,omitempty"`
	}

	// Report is what came of a plan.
	Report struct {
		// Mode is currantloft or direct.
		Mode string `json:"mode"`
		// WallMs is how long the run took.
		WallMs int64 `json:"wall_ms"`
		// Callers is nil if the plan had none.
		Callers *CallersReport `json:"callers,omitempty"`
		// Trainers are in the order in which they ended.
		Trainers []TrainerReport `json:"trainers,omitempty"`
	}
)

// quantiles reads a histogram of microseconds as milliseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// WriteJSON writes the report for machines.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(table, "%s, %.1f s\n", r.Mode, float64(r.WallMs)/microsPerMilli)
	if c := r.Callers; c != nil {
		_, _ = fmt.Fprintln(table, "CALLERS\tSENT\tP50 MS\tP99 MS\tP99.9 MS\tMAX MS\tTOKENS/S\tOUTCOMES\t")
		_, _ = fmt.Fprintf(table, "\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%s\t\n", c.Sent, c.LatencyMs.P50,
			c.LatencyMs.P99, c.LatencyMs.P999, c.LatencyMs.Max, c.TokensPerSecond, joinCounts(c.Outcomes))
	}
	if len(r.Trainers) > 0 {
		_, _ = fmt.Fprintln(table,
			"TRAINER\tSTEPS\tSAMPLES\tASKS\tSTEP P50 MS\tSTEP MAX MS\tIDLE\tAGE P99 MS\tBEHIND\tDOUBLED\tSHORT\tPROBLEM\t")
	}
	for _, t := range r.Trainers {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.0f%%\t%.0f\t%s\t%d\t%d\t%s\t\n", t.Trainer, t.Steps,
			t.Samples, t.Asks, t.StepMs.P50, t.StepMs.Max, 100*t.IdleShare, t.AgeMs.P99, joinBehind(t.Behind),
			t.Doubled, t.Short, t.Problem)
	}
	return table.Flush()
}

func joinCounts(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s:%d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

func joinBehind(counts map[uint64]int) string {
	parts := make([]string, 0, len(counts))
	for behind, n := range counts {
		parts = append(parts, fmt.Sprintf("%d:%d", behind, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
