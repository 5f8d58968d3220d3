package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	groups    = 4
	groupSize = 4
	// desiredGroups is how many groups a trainer waits for.
	desiredGroups = groups - 1
	// textEvents is the number of events of an item's text. The last item of each step takes longer
	// than its trainer waits.
	textEvents = 12
	stepLimit  = 20 * time.Second
)

type (
	// trainer submits steps of one model under a key of its own.
	trainer struct {
		lab   *lab
		name  string
		model string
		path  string
		key   string
	}

	// result is a result of an item, page one of a batch submission's results.
	result struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	}

	page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Results []result `json:"results"`
	}
)

// wholeText is the text of an item's whole output: that of its own prompt.
func wholeText(prompt string) string {
	lines := make([]string, textEvents)
	for n := range lines {
		lines[n] = fmt.Sprintf("%s:%d", prompt, n)
	}
	return strings.Join(lines, "\n")
}

// generate answers an item with events that say which prompt they are generated from.
func generate(_ *sampler, w http.ResponseWriter, r *http.Request, body []byte) {
	pause := 20 * time.Millisecond
	if bytes.HasSuffix(body, []byte("slow")) {
		pause = time.Second
	}
	first := 0
	if after := r.Header.Get("Last-Event-Id"); after != "" {
		if _, err := fmt.Sscan(after, &first); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first++
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	controller := http.NewResponseController(w)
	for n := first; n < textEvents; n++ {
		if !sleep(r.Context(), pause) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s:%d\n\n", n, body, n); err != nil || controller.Flush() != nil {
			return
		}
	}
}

// call makes a call of a trainer at a host.
func (t *trainer) call(h *host, method, path string, header []string, body string) answer {
	if t.key != "" {
		header = append(header, "Authorization: Bearer "+t.key)
	}
	id := strings.ReplaceAll(t.name, " ", "-") + "-call"
	if method == http.MethodPost {
		id = t.batch()
	}
	return ask(h.frontend(), request{method: method, path: path, id: id, deadline: 3 * time.Second, header: header, body: body})
}

// batch is the id of the trainer's batch submission.
func (t *trainer) batch() string { return "7c41e0" + t.name }

// prompt is the prompt of an item.
func (t *trainer) prompt(group, item int) string {
	prompt := fmt.Sprintf("%s/%d/%d", t.name, group, item)
	if group == groups-1 && item == groupSize-1 {
		prompt += "/slow"
	}
	return prompt
}

// itemID is the id of an item. Trainers number their items by themselves; without trouble no two
// of them use the same ids.
func (t *trainer) itemID(group, item int) string {
	id := fmt.Sprintf("step0-g%d-i%d", group, item)
	if !t.lab.trouble {
		id = t.name + "-" + id
	}
	return id
}

// submission is the body of the trainer's first step.
func (t *trainer) submission() (string, error) {
	var items []map[string]any
	for g := range groups {
		for i := range groupSize {
			items = append(items, map[string]any{
				"id": t.itemID(g, i), "path": t.path + "gen", "group": fmt.Sprintf("g%d", g), "tokens": 40,
				"headers": map[string]string{"Model": t.model, "Token-Usage": "16,24", "Prefix-Hash": fmt.Sprintf("9c2e%d:16", g)},
				"body":    base64.StdEncoding.EncodeToString([]byte(t.prompt(g, i))),
			})
		}
	}
	body, err := json.Marshal(map[string]any{
		"step": 0, "model": t.model, "min_version": 1, "desired_count": desiredGroups, "items": items,
	})
	return string(body), err
}

// step submits a step and reads its results until all but one are listed. It returns them, and ends
// the step if that is wanted.
func (t *trainer) step(h *host, end bool) ([]result, error) {
	body, err := t.submission()
	if err != nil {
		return nil, err
	}
	if a := t.call(h, http.MethodPost, t.path+"step", []string{"Content-Type: application/json"}, body); a.status != http.StatusAccepted {
		return nil, fmt.Errorf("the submission of %s is answered %v", t.name, a)
	}
	t.lab.logf("trainer %s: batch submission %s is accepted at %s", t.name, t.batch(), h.name)
	var results []result
	for deadline := time.Now().Add(stepLimit); time.Now().Before(deadline) && len(results) < groups*groupSize-1; {
		a := t.call(h, http.MethodGet, fmt.Sprintf("/currantloft/lots/%s?after=%d", t.batch(), len(results)), []string{"Wait-Ms: 1000"}, "")
		var p page
		if a.status == http.StatusOK && json.NewDecoder(bytes.NewReader(a.body)).Decode(&p) == nil {
			results = append(results, p.Results...)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !end {
		t.lab.logf("trainer %s: %d results are read, the batch submission stays open", t.name, len(results))
		return results, nil
	}
	a := t.call(h, http.MethodDelete, "/currantloft/lots/"+t.batch(), nil, "")
	t.lab.logf("trainer %s: %d results are read, the end is answered %v", t.name, len(results), a)
	if a.status != http.StatusOK {
		return nil, fmt.Errorf("the end of %s is answered %v", t.name, a)
	}
	return results, nil
}
