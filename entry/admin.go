package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/finds"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/weight"
)

const (
	maxConfigBody = 16 << 20
	outcomeClash  = route.Outcome("conflict")
)

type (
	// Status is a node's answer to an operator.
	Status struct {
		// Node is the node's name.
		Node string `json:"node"`
		// Generation is the configuration in force, 0 for none.
		Generation uint64 `json:"generation"`
		// Operation is the apply that brought it.
		Operation string `json:"operation"`
		// InForceSinceMs is when it came into force here, in Unix milliseconds.
		InForceSinceMs int64 `json:"in_force_since_unix_ms"`
		// InFlight counts requests of callers and trainers.
		InFlight int `json:"in_flight"`
		// Members are the nodes that this one knows.
		Members []MemberStatus `json:"members,omitempty"`
	}

	// MemberStatus is one node as another knows it.
	MemberStatus struct {
		// Name is the node's name.
		Name string `json:"name"`
		// Domain is its failure domain.
		Domain string `json:"domain"`
		// State is alive, leaving or dead.
		State string `json:"state"`
		// URL is where it serves HTTP.
		URL string `json:"url"`
	}

	// Applied is the answer to an accepted configuration.
	Applied struct {
		// Generation is the new configuration's number.
		Generation uint64 `json:"generation"`
	}

	// Conflict is the answer to an apply that came second.
	Conflict struct {
		ErrorBody
		// Generation is what came first.
		Generation uint64 `json:"generation"`
		// Changes lists what came first against what was applied.
		Changes []string `json:"changes"`
	}
)

var stateNames = map[int32]string{0: "alive", 1: "leaving", 2: "dead"}

// Describe returns the node's status.
func (s *Server) Describe() Status {
	view := s.parts.Members.View()
	status := Status{Node: view.Self(), InFlight: s.InFlight()}
	if current := s.parts.Config.Current(); current != nil {
		status.Generation = current.Generation()
		status.Operation = current.Document().OperationID
		status.InForceSinceMs = current.Since().UnixMilli()
	}
	for _, n := range view.All() {
		status.Members = append(status.Members, MemberStatus{
			Name:   n.Name(),
			Domain: n.Domain(),
			State:  stateNames[int32(n.State())],
			URL:    "http://" + n.HTTPAddress(),
		})
	}
	return status
}

// status answers with the members, or without them if the query says members=false.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status := s.Describe()
	if r.URL.Query().Get("members") == "false" {
		status.Members = nil
	}
	writeJSON(w, status)
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.parts.Dump()) }

// showConfig returns the whole configuration in force.
func (s *Server) showConfig(w http.ResponseWriter, _ *http.Request) {
	current := s.parts.Config.Current()
	if current == nil {
		writeJSON(w, active.Document{})
		return
	}
	writeJSON(w, current.Document())
}

// applyConfig puts a whole set in force.
func (s *Server) applyConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBody))
	var request active.Request
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || request.OperationID == "" {
		s.fail(w, problem{
			status: http.StatusBadRequest, outcome: route.NotRun,
			text: "want JSON with operation, base and files, at most 16 MiB",
		})
		return
	}
	generation, err := s.parts.Config.Apply(r.Context(), request)
	if err != nil {
		s.failApply(w, request, err)
		return
	}
	writeJSON(w, Applied{Generation: generation})
}

func (s *Server) failApply(w http.ResponseWriter, request active.Request, err error) {
	var findings *finds.Error
	var conflict *active.ConflictError
	switch {
	case errors.As(err, &findings):
		s.fail(w, problem{
			status: http.StatusUnprocessableEntity, outcome: route.NotRun,
			text: "nothing was applied: mend the findings and apply again", findings: findingsOf(err),
		})
	case errors.As(err, &conflict):
		body := Conflict{
			ErrorBody:  problem{outcome: outcomeClash, text: err.Error() + ": read the changes and apply again"}.body(),
			Generation: conflict.Found().Generation,
			Changes:    changesBetween(request, conflict.Found()),
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(headerOutcome, string(outcomeClash))
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(body)
	default:
		s.fail(w, problem{
			status: http.StatusServiceUnavailable, outcome: route.Unknown, retry: time.Second,
			text: err.Error() + ": apply again with the same operation id to find out",
		})
	}
}

// changesBetween lists how the configuration that came first differs from what
// was to be applied.
func changesBetween(request active.Request, found active.Document) []string {
	mine, err := specs.Parse(active.Document{Files: request.Files}.SpecFiles())
	if err != nil {
		return nil
	}
	theirs, err := specs.Parse(found.SpecFiles())
	if err != nil {
		return nil
	}
	var lines []string
	for _, change := range specs.Diff(theirs, mine) {
		lines = append(lines, change.String())
	}
	return lines
}

// drain starts a planned stop of this node.
func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.parts.Drain()
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(s.Describe())
}

// markEndpoint tells all nodes that an endpoint is leaving or back.
func (s *Server) markEndpoint(leaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("endpoint")
		current := s.parts.Config.Current()
		if current == nil {
			s.fail(w, problem{
				status: http.StatusServiceUnavailable, outcome: route.NotRun, retry: time.Second,
				text: "no configuration is in force at this node yet",
			})
			return
		}
		if _, ok := current.Set().Endpoint(name); !ok {
			s.fail(w, problem{status: http.StatusNotFound, outcome: route.NotRun, text: "no endpoint " + name})
			return
		}
		s.parts.Members.Publish(weight.MarkFact(name, leaving, time.Now()))
		w.WriteHeader(http.StatusAccepted)
	}
}
