package steps

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/currantloft/currantloft/finds"
	"github.com/currantloft/currantloft/sample"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	recordKind = "steps"
	dataKind   = "step_data"

	stateOpen   = "open"
	stateSealed = "sealed"

	maxPromptBytes    = 64 << 10
	maxGroupNameBytes = 128
	digestBytes       = 16
)

type (
	// Record is the durable state of a trainer's current step. The platform
	// stores one record per trainer; each seal replaces it conditionally, which
	// fences keepers that read an earlier version.
	Record struct {
		// OperationID identifies the write.
		OperationID string `json:"operation"`
		// Fence increases with each write.
		Fence uint64 `json:"fence"`
		// Keeper is the node that wrote the record.
		Keeper string `json:"keeper"`
		// Step is the step that was last sealed, or opened again after it was
		// superseded.
		Step uint64 `json:"step"`
		// Attempt counts the step's sample sets from 1.
		Attempt uint32 `json:"attempt"`
		// State is open or sealed.
		State string `json:"state"`
		// Request is the digest of the requested groups.
		Request string `json:"request_digest"`
		// Digest is the digest of the sealed samples.
		Digest string `json:"digest,omitempty"`
		// Chunks names the objects that hold the sealed samples, in order. In an open
		// record they hold the superseded samples, which the next seal deletes.
		Chunks []string `json:"chunks,omitempty"`
		// Groups counts the sealed groups.
		Groups int `json:"groups"`
		// Samples counts the sealed samples.
		Samples int `json:"samples"`
		// SealedAt is the time of the seal in Unix milliseconds.
		SealedAt int64 `json:"sealed_unix_ms,omitempty"`
	}

	// Request is the body of a trainer's request for a step.
	Request struct {
		// Groups are the prompts to sample from.
		Groups []GroupRequest `json:"groups"`
	}

	// GroupRequest is one prompt.
	GroupRequest struct {
		// Group names the group within the step.
		Group string `json:"group"`
		// Prompt is the text to continue.
		Prompt string `json:"prompt"`
	}

	// Group is a complete group of samples as delivered to the trainer.
	Group struct {
		// Group names the group.
		Group string `json:"group"`
		// Samples are in order of their index.
		Samples []Sample `json:"samples"`
	}

	// Sample is one scored sample.
	Sample struct {
		// ID is trainer/step/attempt/group/index.
		ID string `json:"id"`
		// Index is the sample's position in the group.
		Index uint32 `json:"index"`
		// Text is the generated text.
		Text string `json:"text"`
		// Versions lists which weight version generated which tokens.
		Versions []Version `json:"versions"`
		// Score is the scorer's grade.
		Score float64 `json:"score"`
		// StartedAt is when generation began, in Unix milliseconds.
		StartedAt int64 `json:"started_unix_ms"`
		// Endpoint is the endpoint that generated the last tokens.
		Endpoint string `json:"endpoint"`
		// Stream is the engine's id of the sample's last stream.
		Stream string `json:"stream"`
	}

	// Version is a range of tokens that one weight version generated.
	Version struct {
		// Version is the weight version.
		Version uint64 `json:"version"`
		// First is the index of the first token.
		First uint32 `json:"first_token"`
		// Tokens counts the tokens.
		Tokens uint32 `json:"tokens"`
	}
)

// Operation returns the id of the last write.
func (r Record) Operation() string { return r.OperationID }

// ParseRequest parses and validates a trainer's request. The error lists all
// findings.
func ParseRequest(body []byte, trainer specs.Trainer) (Request, error) {
	var request Request
	var list finds.List
	if err := json.Unmarshal(body, &request); err != nil {
		list.Add(finds.Position{File: "body"}, "want JSON such as {\"groups\":[{\"group\":\"g1\",\"prompt\":\"...\"}]}: %v", err)
		return request, list.Err()
	}
	if n := len(request.Groups); n == 0 || n > trainer.Groups() {
		list.Add(finds.Position{File: "body", Key: "groups"}, "want 1 to %d groups, got %d", trainer.Groups(), n)
	}
	seen := make(map[string]bool)
	for i, g := range request.Groups {
		position := finds.Position{File: "body", Key: fmt.Sprintf("groups[%d]", i)}
		switch {
		case g.Group == "" || len(g.Group) > maxGroupNameBytes || strings.ContainsAny(g.Group, "/ \n"):
			list.Add(position, "want a group name of 1 to %d characters without / and blanks", maxGroupNameBytes)
		case seen[g.Group]:
			list.Add(position, "group %q stands twice", g.Group)
		case g.Prompt == "" || len(g.Prompt) > maxPromptBytes:
			list.Add(position, "want a prompt of 1 to %d bytes, got %d", maxPromptBytes, len(g.Prompt))
		}
		seen[g.Group] = true
	}
	return request, list.Err()
}

// digest identifies the request's content.
func (r Request) digest() string {
	sum := sha256.New()
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(sum, "%q %q\n", g.Group, g.Prompt)
	}
	return hex.EncodeToString(sum.Sum(nil)[:digestBytes])
}

func sampleOf(call *wirepb.RunGroup, done *wirepb.SampleDone) Sample {
	s := Sample{
		ID:        sample.ID(call.GetTrainer(), call.GetStep(), call.GetAttempt(), call.GetGroup(), done.GetIndex()),
		Index:     done.GetIndex(),
		Text:      done.GetText(),
		Score:     done.GetScore(),
		StartedAt: done.GetStartedUnixMs(),
		Endpoint:  done.GetEndpoint(),
		Stream:    done.GetStream(),
		Versions:  VersionsOf(done.GetVersions()),
	}
	return s
}

// VersionsOf converts version ranges to the form used in answers.
func VersionsOf(ranges []*wirepb.VersionRange) []Version {
	versions := make([]Version, 0, len(ranges))
	for _, r := range ranges {
		versions = append(versions, Version{
			Version: r.GetVersion(), First: r.GetFirstToken(), Tokens: r.GetTokens(),
		})
	}
	return versions
}

// StaleReason returns the reason why the sample is too stale to deliver to the trainer
// now, "" if it is not.
func (s Sample) StaleReason(trainer specs.Trainer, served uint64, now time.Time) string {
	if age := now.Sub(time.UnixMilli(s.StartedAt)); age > trainer.MaxAge() {
		return fmt.Sprintf("age %s exceeds the limit of %s", age.Round(time.Millisecond), trainer.MaxAge())
	}
	oldest := slices.MinFunc(s.Versions, func(a, b Version) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	}).Version
	if served > oldest && served-oldest > trainer.MaxVersionsBehind() {
		return fmt.Sprintf("version %d is %d behind the served %d, the limit is %d", oldest, served-oldest, served, trainer.MaxVersionsBehind())
	}
	for _, v := range s.Versions {
		if !trainer.Accepts(v.Version) {
			return fmt.Sprintf("version %d is no longer accepted", v.Version)
		}
	}
	return ""
}

// stale returns the reason why a sample of the group is too stale to deliver now,
// "" if none is.
func (g Group) stale(trainer specs.Trainer, served uint64, now time.Time) string {
	for _, s := range g.Samples {
		if reason := s.StaleReason(trainer, served, now); reason != "" {
			return fmt.Sprintf("sample %s: %s", s.ID, reason)
		}
	}
	return ""
}
