package main

import (
	"fmt"
	"strings"
	"time"
)

// foreignText lets trainers of different tenants submit a step each, one after the other. Their
// items have the same ids, which each trainer counts for itself.
func foreignText(l *lab) error {
	for i := range 4 {
		if _, err := l.startEngine(fmt.Sprintf("e%d", i), pool, []string{"m0", "m1", "m2"}, generate); err != nil {
			return err
		}
	}
	var trainers []*trainer
	var tenants, routes []map[string]any
	for i, name := range []string{"library", "clinic", "lab"} {
		t := &trainer{lab: l, name: name, model: fmt.Sprintf("m%d", i), path: "/" + name + "/", key: "key-of-" + name}
		trainers = append(trainers, t)
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{t.key}, "priority": 1})
		r := route(name, "rollout", pool, 10*time.Second, 3)
		r["result_deadline_ms"], r["max_queue_s"] = 7500, 40
		routes = append(routes, r)
	}
	if err := l.desire(1, tenants, routes...); err != nil {
		return err
	}
	if err := l.startHosts(2); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	wrong := 0
	for i, t := range trainers {
		results, err := t.step(l.hosts[i%len(l.hosts)], true)
		if err != nil {
			return err
		}
		want := make(map[string]string)
		for g := range groups {
			for n := range groupSize {
				want[t.itemID(g, n)] = wholeText(t.prompt(g, n))
			}
		}
		for _, r := range results {
			first, _, _ := strings.Cut(r.Text, "\n")
			if r.State == "completed" && r.Text != want[r.ID] {
				wrong++
				l.logf("trainer %s: the text of item %s begins with %q, not with %q", t.name, r.ID, first, strings.SplitN(want[r.ID], "\n", 2)[0])
			}
		}
	}
	l.logf("%d results are completed with a text that isn't the item's output", wrong)
	if wrong > 0 {
		return errBroken
	}
	return nil
}
