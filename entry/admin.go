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
	maxConfigBytes  = 16 << 20
	outcomeConflict = route.Outcome("conflict")
)

type (
	// Status is a node's status as reported to an operator.
	Status struct {
		// Node is the node's name.
		Node string `json:"node"`
		// Generation is the generation of the configuration in force, 0 for none.
		Generation uint64 `json:"generation"`
		// Operation is the id of the apply operation that wrote that configuration.
		Operation string `json:"operation"`
		// InForceSinceMs is when it came into force here, in Unix milliseconds.
		InForceSinceMs int64 `json:"in_force_since_unix_ms"`
		// InFlight is the number of requests of callers and trainers in flight.
		InFlight int `json:"in_flight"`
		// Members are the nodes in this node's membership view.
		Members []MemberStatus `json:"members,omitempty"`
	}

	// MemberStatus is one node in the membership view of another.
	MemberStatus struct {
		// Name is the node's name.
		Name string `json:"name"`
		// Domain is its failure domain.
		Domain string `json:"domain"`
		// State is alive, leaving or dead.
		State string `json:"state"`
		// URL is the base address of its HTTP server.
		URL string `json:"url"`
	}

	// Applied is the response to an accepted configuration.
	Applied struct {
		// Generation is the generation of the new configuration.
		Generation uint64 `json:"generation"`
	}

	// Conflict is the response to an apply whose base is not in force.
	Conflict struct {
		ErrorBody
		// Generation is the generation in force.
		Generation uint64 `json:"generation"`
		// Changes lists the changes from the configuration in force to the
		// submitted one.
		Changes []string `json:"changes"`
	}
)

var stateNames = map[int32]string{0: "alive", 1: "leaving", 2: "dead"}

// Status returns the node's status.
func (s *Server) Status() Status {
	view := s.deps.Members.View()
	status := Status{Node: view.Self(), InFlight: s.InFlight()}
	if current := s.deps.Config.Current(); current != nil {
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

// status returns the node's status, without members if the query has members=false.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	status := s.Status()
	if r.URL.Query().Get("members") == "false" {
		status.Members = nil
	}
	writeJSON(w, status)
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.deps.Dump()) }

// showConfig returns the configuration in force, or an empty document if there
// is none.
func (s *Server) showConfig(w http.ResponseWriter, _ *http.Request) {
	current := s.deps.Config.Current()
	if current == nil {
		writeJSON(w, active.Document{})
		return
	}
	writeJSON(w, current.Document())
}

// applyConfig replaces the configuration in force by the submitted one.
func (s *Server) applyConfig(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigBytes))
	var request active.Request
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil || request.OperationID == "" {
		s.writeError(w, problem{
			status: http.StatusBadRequest, outcome: route.NotRun,
			text: "want JSON with operation, base and files, at most 16 MiB",
		})
		return
	}
	generation, err := s.deps.Config.Apply(r.Context(), request)
	if err != nil {
		s.writeApplyError(w, request, err)
		return
	}
	writeJSON(w, Applied{Generation: generation})
}

func (s *Server) writeApplyError(w http.ResponseWriter, request active.Request, err error) {
	var findings *finds.Error
	var conflict *active.ConflictError
	switch {
	case errors.As(err, &findings):
		s.writeError(w, problem{
			status: http.StatusUnprocessableEntity, outcome: route.NotRun,
			text: "nothing was applied: mend the findings and apply again", findings: findingsOf(err),
		})
	case errors.As(err, &conflict):
		body := Conflict{
			ErrorBody:  problem{outcome: outcomeConflict, text: err.Error() + ": read the changes and apply again"}.body(),
			Generation: conflict.InForce().Generation,
			Changes:    changesBetween(request, conflict.InForce()),
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(headerOutcome, string(outcomeConflict))
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(body)
	default:
		s.writeError(w, problem{
			status: http.StatusServiceUnavailable, outcome: route.Unknown, retryAfter: time.Second,
			text: err.Error() + ": apply again with the same operation id to find out",
		})
	}
}

// changesBetween lists the changes from the configuration in force to the
// submitted one, nil if either can't be parsed.
func changesBetween(request active.Request, found active.Document) []string {
	submitted, err := specs.Parse(active.Document{Files: request.Files}.SpecFiles())
	if err != nil {
		return nil
	}
	inForce, err := specs.Parse(found.SpecFiles())
	if err != nil {
		return nil
	}
	var lines []string
	for _, change := range specs.Diff(inForce, submitted) {
		lines = append(lines, change.String())
	}
	return lines
}

// drain starts a graceful shutdown of this node.
func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.deps.Drain()
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(s.Status())
}

// markEndpoint notifies all nodes that an endpoint is leaving or available again.
func (s *Server) markEndpoint(leaving bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := r.PathValue("endpoint")
		current := s.deps.Config.Current()
		if current == nil {
			s.writeError(w, problem{
				status: http.StatusServiceUnavailable, outcome: route.NotRun, retryAfter: time.Second,
				text: "no configuration is in force at this node yet",
			})
			return
		}
		if _, ok := current.Set().Endpoint(name); !ok {
			s.writeError(w, problem{status: http.StatusNotFound, outcome: route.NotRun, text: "no endpoint " + name})
			return
		}
		s.deps.Members.Publish(weight.EndpointMarkFact(name, leaving, time.Now()))
		w.WriteHeader(http.StatusAccepted)
	}
}
