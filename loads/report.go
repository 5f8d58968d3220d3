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
	// Quantiles are percentiles of a distribution, in milliseconds.
	Quantiles struct {
		// Count is the number of values.
		Count int64 `json:"count"`
		// P50 is the median.
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

	// CallersReport holds the results of interactive requests.
	CallersReport struct {
		// Sent is the number of requests sent.
		Sent int `json:"sent"`
		// Outcomes counts requests by outcome: "answered", the outcome that the
		// node reported, or "lost" if it reported none.
		Outcomes map[string]int `json:"outcomes"`
		// LatencyMs is the time from when a request was due until its complete
		// answer, in milliseconds.
		LatencyMs Quantiles `json:"latency_ms"`
		// TokensPerSecond is the rate of tokens in complete answers.
		TokensPerSecond float64 `json:"tokens_per_second"`
	}

	// TrainerReport holds the results of one trainer's steps.
	TrainerReport struct {
		// Trainer is the trainer's name.
		Trainer string `json:"trainer"`
		// Steps counts the steps delivered completely.
		Steps int `json:"steps"`
		// Samples counts the samples in those steps.
		Samples int `json:"samples"`
		// Requests counts requests for steps, including repeated ones.
		Requests int `json:"asks"`
		// StepMs is the time that the trainer waited for a step, in milliseconds.
		StepMs Quantiles `json:"step_ms"`
		// IdleShare is the share of the wall time that the trainer waited for steps.
		IdleShare float64 `json:"idle_share"`
		// VersionsBehind counts samples by how many versions their oldest token is behind
		// the newest version in the step.
		VersionsBehind map[uint64]int `json:"versions_behind"`
		// AgeMs is the age of samples at delivery, in milliseconds.
		AgeMs Quantiles `json:"age_ms"`
		// Duplicates counts samples whose ID was delivered before.
		Duplicates int `json:"doubled"`
		// Mislabelled counts samples that failed the label check.
		Mislabelled int `json:"mislabelled"`
		// ShortSteps counts steps with too few samples.
		ShortSteps int `json:"short"`
		// Problem is the error that stopped the trainer early.
		Problem string `json:"problem,omitempty"`
	}

	// Report holds the results of a run.
	Report struct {
		// Mode is currantloft, or direct for the baseline.
		Mode string `json:"mode"`
		// WallMs is the duration of the run, in milliseconds.
		WallMs int64 `json:"wall_ms"`
		// Callers is nil if the plan has no callers.
		Callers *CallersReport `json:"callers,omitempty"`
		// Trainers are the results of the trainers, in the order in which they ended.
		Trainers []TrainerReport `json:"trainers,omitempty"`
	}
)

// quantiles converts a histogram of microseconds to milliseconds.
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

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a text table.
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
			t.Samples, t.Requests, t.StepMs.P50, t.StepMs.Max, 100*t.IdleShare, t.AgeMs.P99, joinVersionsBehind(t.VersionsBehind),
			t.Duplicates, t.ShortSteps, t.Problem)
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

func joinVersionsBehind(counts map[uint64]int) string {
	parts := make([]string, 0, len(counts))
	for behind, n := range counts {
		parts = append(parts, fmt.Sprintf("%d:%d", behind, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
